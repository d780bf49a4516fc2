#pragma once

#include <base/base.h>

#include <array>

namespace marigold::context::events {

inline constexpr base::event_definition reservationAbandoned {
    .id = "MB-1301",
    .level = base::log_level::Info,
    .name = "reservation_abandoned",
    .meaning = "A writer sent no data within the lease timeout; its reservation was freed.",
    .action = "",
};
inline constexpr base::event_definition blockCorrupt {
    .id = "MB-1302",
    .level = base::log_level::Error,
    .name = "block_corrupt",
    .meaning = "The stored bytes of a sealed block no longer match its checksum; the block was freed.",
    .action = "Check the memory and the disk of the store VM.",
};
inline constexpr base::event_definition memoryLost {
    .id = "MB-1303",
    .level = base::log_level::Warning,
    .name = "memory_lost",
    .meaning = "The store lost its memory; all handles are invalid, and only blocks on disk remain.",
    .action = "Expect more recomputation until the store has been refilled.",
};
inline constexpr base::event_definition readRefused {
    .id = "MB-1304",
    .level = base::log_level::Debug,
    .name = "read_refused",
    .meaning = "A read failed verification because its block was freed, moved or changed.",
    .action = "",
};
inline constexpr base::event_definition transferCancelled {
    .id = "MB-1305",
    .level = base::log_level::Info,
    .name = "transfer_cancelled",
    .meaning = "A transfer was cancelled because recomputation was expected to finish sooner.",
    .action = "If frequent, check the bandwidth of the link to this store.",
};
inline constexpr base::event_definition cacheEventGap {
    .id = "MB-1306",
    .level = base::log_level::Info,
    .name = "cache_event_gap",
    .meaning = "Cache events of a target are missing; the hints from its earlier events were dropped.",
    .action = "If frequent, check the load of the target and the event path.",
};

inline constexpr std::array allEvents { reservationAbandoned, blockCorrupt, memoryLost, readRefused,
    transferCancelled, cacheEventGap };

} // namespace marigold::context::events
