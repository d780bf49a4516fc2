#pragma once

#include "claim_shard.h"

#include <base/base.h>
#include <platform/platform.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::outcome {

/// Deletes the stored claims whose keys have all expired.
class claim_sweeper {
public:
    struct options {
        base::duration bucketLength {};
        base::duration retention {}; ///< A bucket is deleted when its newest key has this age.
        base::duration interval = std::chrono::minutes(1);
        std::function<bool()> mayRun = {}; ///< Restricts sweeping to one process; always allowed if empty.
        /// Called at each interval, before any deletion, even if this process does not sweep.
        std::function<void(std::uint64_t firstRetained)> beforeSweep = {};
    };

    claim_sweeper(claim_context& context, options opts);
    ~claim_sweeper();
    claim_sweeper(const claim_sweeper&) = delete;
    claim_sweeper& operator=(const claim_sweeper&) = delete;

    /// Returns the bucket number in \a key; empty if the key has a different format.
    static std::optional<std::uint64_t> bucketOf(std::string_view prefix, std::string_view key);

private:
    void arm();
    void start();
    void readPage(std::string_view after);
    void removeNext(std::vector<platform::kv_entry> page, std::size_t index);
    std::uint64_t firstRetained() const;

    claim_context& m_context;
    options m_options;
    base::timer_id m_timer = 0;
    std::uint64_t m_removed = 0;
};

} // namespace marigold::outcome
