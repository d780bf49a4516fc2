#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

namespace marigold::bench {

/// Command line arguments common to the measurements.
struct arguments {
    std::uint64_t seed = 20261204;
    bool isLong = false; ///< Whether the longer variant of the measurement runs.
};

/// Parses `--seed N` and `--long`, and prints the seed; any other argument ends the program with status 2.
inline arguments parse(int argc, char** argv)
{
    arguments out;
    for (int i = 1; i < argc; ++i) {
        const std::string_view text = argv[i];
        if (text == "--long") {
            out.isLong = true;
        } else if (text == "--seed" && i + 1 < argc) {
            out.seed = std::strtoull(argv[++i], nullptr, 10);
        } else {
            std::fprintf(stderr, "usage: %s [--seed N] [--long]\n", argv[0]);
            std::exit(2);
        }
    }
    std::printf("seed: %llu\n", static_cast<unsigned long long>(out.seed));
    return out;
}

/// Returns the nearest-rank percentile \a share (0 to 1) of \a values, or 0 if there are none.
inline double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto rank
        = static_cast<std::ptrdiff_t>(std::lround(share * static_cast<double>(values.size() - 1)));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

/// Prints whether the promise described by \a text held. \return \a held
inline bool promise(bool held, const char* text)
{
    std::printf("promise %s: %s\n", held ? "held" : "BROKEN", text);
    return held;
}

} // namespace marigold::bench
