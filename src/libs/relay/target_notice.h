#pragma once

#include <base/base.h>

namespace marigold::relay {

/// What an answer of a target says about the target itself.
struct target_notice {
    bool leaving = false; ///< The target ends soon and wants no more requests.

    bool empty() const { return !leaving; }
};

} // namespace marigold::relay
