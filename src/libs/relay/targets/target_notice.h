#pragma once

#include <base/base.h>

#include <optional>

namespace marigold::relay {

/// What an answer of a target says about the target itself.
struct target_notice {
    bool leaving = false; ///< The target ends soon and wants no more requests.

    /// Set by a refusal: the target wants no requests of this process for so long.
    std::optional<base::duration> pause = {};

    bool empty() const { return !leaving && !pause; }
};

} // namespace marigold::relay
