#pragma once

#include <base/event_log.h>

#include <array>

namespace marigold::routing::events {

inline constexpr base::event_definition targetEjected { .id = "MB-1401",
    .level = base::log_level::Warning,
    .name = "target_ejected",
    .meaning = "This process sends a target no work because of its errors or latency.",
    .action = "Look at the target if the event repeats." };

inline constexpr base::event_definition targetReturned { .id = "MB-1402",
    .level = base::log_level::Info,
    .name = "target_returned",
    .meaning = "Probes of an ejected target succeeded, and it takes work again.",
    .action = "" };

inline constexpr base::event_definition ejectionLimited { .id = "MB-1403",
    .level = base::log_level::Warning,
    .name = "ejection_limited",
    .meaning = "A target met the conditions of ejection, but half of its failure domain is ejected already.",
    .action = "Check the failure domain; drain it if it is faulty as a whole." };

inline constexpr base::event_definition targetCold { .id = "MB-1404",
    .level = base::log_level::Warning,
    .name = "target_cold",
    .meaning = "Service times far above expectation show that the target is cold; its ramp starts again.",
    .action = "Check the target for a restart or a fault if the event repeats." };

inline constexpr base::event_definition rampComplete { .id = "MB-1405",
    .level = base::log_level::Info,
    .name = "ramp_complete",
    .meaning = "The target is warm and bears its full concurrency.",
    .action = "" };

inline constexpr std::array allEvents { targetEjected, targetReturned, ejectionLimited, targetCold,
    rampComplete };

} // namespace marigold::routing::events
