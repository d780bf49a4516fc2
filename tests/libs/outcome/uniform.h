#pragma once

#include <rapidcheck.h>

namespace marigold::outcome::testing {

/// Generates uniformly distributed numbers in [\a min, \a max). `inRange` alone scales its range with the
/// test size, and never reaches the last values with sizes below 100.
template <typename T> rc::Gen<T> uniform(T min, T max)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max));
}

} // namespace marigold::outcome::testing
