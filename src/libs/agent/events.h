#pragma once

#include <base/event_log.h>

#include <array>

namespace marigold::agent::events {

inline constexpr base::event_definition runFailed { .id = "MB-1901",
    .level = base::log_level::Warning,
    .name = "run_failed",
    .meaning = "A run ended without a complete response.",
    .action = "Check the engine if the event repeats." };

inline constexpr base::event_definition runRecovered { .id = "MB-1902",
    .level = base::log_level::Info,
    .name = "run_recovered",
    .meaning = "The stream of a run that started before this process is resumed at the engine.",
    .action = "" };

inline constexpr base::event_definition engineLost { .id = "MB-1903",
    .level = base::log_level::Warning,
    .name = "engine_lost",
    .meaning = "The engine does not reply; the agent refuses work until it does.",
    .action = "Check the engine." };

inline constexpr base::event_definition blockRefused { .id = "MB-1904",
    .level = base::log_level::Warning,
    .name = "block_refused",
    .meaning = "A cached block failed verification and was not used; the engine recomputes it.",
    .action = "Check the store if the event repeats." };

inline constexpr std::array allEvents { runFailed, runRecovered, engineLost, blockRefused };

} // namespace marigold::agent::events
