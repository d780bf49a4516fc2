#pragma once

#include <base/base.h>

#include <array>

namespace marigold::outcome::events {

inline constexpr base::event_definition drainStarted { .id = "MB-1501",
    .level = base::log_level::Info,
    .name = "drain_started",
    .meaning = "The process rejects new work and lets running requests finish.",
    .action = "" };

inline constexpr base::event_definition drainDone { .id = "MB-1502",
    .level = base::log_level::Info,
    .name = "drain_done",
    .meaning = "The graceful shutdown completed without interrupting requests.",
    .action = "" };

inline constexpr base::event_definition drainForced { .id = "MB-1503",
    .level = base::log_level::Warning,
    .name = "drain_forced",
    .meaning = "The shutdown was forced by its limit or a second signal.",
    .action = "Raise the limit if requests of that length are expected." };

inline constexpr base::event_definition claimServiceDown { .id = "MB-1510",
    .level = base::log_level::Warning,
    .name = "claim_service_down",
    .meaning = "The key-value service failed; non-idempotent calls are refused as not_run.",
    .action = "Check the key-value service." };

inline constexpr base::event_definition claimServiceUp { .id = "MB-1511",
    .level = base::log_level::Info,
    .name = "claim_service_up",
    .meaning = "The key-value service responds again and claims are accepted.",
    .action = "" };

inline constexpr base::event_definition claimValueCorrupt { .id = "MB-1512",
    .level = base::log_level::Error,
    .name = "claim_value_broken",
    .meaning = "A stored claims value is corrupt; calls that need it are refused and it is not overwritten.",
    .action = "Keep a copy of the value for analysis; it is deleted once all of its keys have expired." };

inline constexpr base::event_definition claimBucketFull { .id = "MB-1513",
    .level = base::log_level::Warning,
    .name = "claim_bucket_full",
    .meaning = "A claims value reached its size limit and calls were refused as not_run.",
    .action = "Spread the orders over a longer time or over more services." };

inline constexpr base::event_definition claimBucketsSwept { .id = "MB-1514",
    .level = base::log_level::Debug,
    .name = "claim_buckets_swept",
    .meaning = "Claims values whose keys have all expired were deleted.",
    .action = "" };

inline constexpr std::array allEvents { drainStarted, drainDone, drainForced, claimServiceDown,
    claimServiceUp, claimValueCorrupt, claimBucketFull, claimBucketsSwept };

} // namespace marigold::outcome::events
