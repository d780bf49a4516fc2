#pragma once

#include <base/base.h>

#include <string>

namespace marigold::relay {

/// Returns \a value in whole milliseconds, as the fields of log lines state it.
inline std::string milliseconds(base::duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace marigold::relay
