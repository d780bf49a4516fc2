#pragma once

#include "return_schedule.h"
#include "start_forecast.h"
#include "team_usage.h"

#include <base/base.h>

#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// What a relay tells its peers about its queue: element 8 of the digests.
struct relay_demand {
    std::vector<start_forecast::class_load> classes = {};
    std::vector<team_usage::entry> teams = {};
    std::vector<return_schedule::promise> returns = {};

    bool empty() const { return classes.empty() && teams.empty() && returns.empty(); }
};

/// Largest encoded entries of each list, in bytes: a hash and two figures, or a hash and one figure.
inline constexpr std::size_t bytesPerClass = 15;
inline constexpr std::size_t bytesPerTeam = 10;
inline constexpr std::size_t bytesPerReturn = 8;

/// Encodes \a demand as a MessagePack array of flat arrays.
std::string encode(const relay_demand& demand);

/// Decodes the output of `encode`; returns `InvalidRequest` for any other bytes.
base::result<relay_demand> decodeDemand(std::string_view bytes);

/// Limits the bytes that the sections of this process use.
class section_budget {
public:
    struct options {
        double bytesPerSecond = 1200; ///< To all receivers together.
        std::size_t largest = 160; ///< Largest section, in bytes.
        std::size_t smallest = 40; ///< Smaller sections wait until the budget allows this size.
        base::duration interval = std::chrono::milliseconds(200); ///< Shortest time between two sections.
    };

    explicit section_budget(options opts)
        : m_options(opts)
    {
    }

    /// Sets the number of processes that receive one section.
    void setReceivers(std::size_t receivers) { m_receivers = receivers; }

    /// Returns the size in bytes that a section may have now; 0 if none may be sent.
    std::size_t available(base::time_point now);

    /// Records that a section of \a bytes is sent.
    void sent(std::size_t bytes, base::time_point now);

private:
    options m_options;
    std::size_t m_receivers = 0;
    double m_saved = 0; ///< Bytes that may be sent.
    base::time_point m_updatedAt {};
    base::time_point m_sentAt {};
};

} // namespace marigold::relay
