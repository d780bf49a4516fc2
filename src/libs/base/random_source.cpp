#include "random_source.h"

#include <cmath>

#include <fmt/format.h>

namespace marigold::base {

random_source random_source::fromSystem()
{
    std::random_device device;
    return random_source((static_cast<std::uint64_t>(device()) << 32) | device());
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    if (bound == 0)
        return 0;
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

double random_source::uniform()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53: one unit in the last place below 1
    return static_cast<double>(m_engine() >> 11) * scale;
}

double random_source::exponential(double mean)
{
    return -mean * std::log(1.0 - uniform());
}

std::string random_source::hex(std::size_t bytes)
{
    std::string text;
    text.reserve(bytes * 2);
    for (std::size_t i = 0; i < bytes; ++i)
        text += fmt::format("{:02x}", m_engine() & 0xff);
    return text;
}

} // namespace marigold::base
