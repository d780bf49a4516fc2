#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace marigold::base {

/// Seeded random number generator; the only source of randomness for decision code.
class random_source {
public:
    explicit random_source(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns a generator seeded by the operating system.
    static random_source fromSystem();

    std::uint64_t next() { return m_engine(); }

    /// Returns a number in [0, \a bound); zero when \a bound is zero.
    std::uint64_t below(std::uint64_t bound);

    /// Returns a number in [0, 1).
    double uniform();

    /// Returns an exponentially distributed number with mean \a mean.
    double exponential(double mean);

    /// Returns \a bytes random bytes in hexadecimal.
    std::string hex(std::size_t bytes);

private:
    std::mt19937_64 m_engine;
};

} // namespace marigold::base
