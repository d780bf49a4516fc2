#pragma once

#include <rapidcheck.h>

namespace marigold::outcome::testing {

/// Numbers in [\a min, \a max) with equal chances. `inRange` alone scales its range with the size of the
/// case, and sizes below 100 never reach its last values.
template <typename T> rc::Gen<T> uniform(T min, T max)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max));
}

} // namespace marigold::outcome::testing
