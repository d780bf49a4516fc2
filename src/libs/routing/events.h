#pragma once

#include <base/event_log.h>

#include <array>

namespace marigold::routing::events {

inline constexpr base::event_definition targetEjected { .id = "MB-1401",
    .level = base::log_level::Warning,
    .name = "target_ejected",
    .meaning = "This process stopped sending work to a target because of its errors or latency.",
    .action = "Examine the target if the event repeats." };

inline constexpr base::event_definition targetReturned { .id = "MB-1402",
    .level = base::log_level::Info,
    .name = "target_returned",
    .meaning = "Probes of an ejected target succeeded, and it receives work again.",
    .action = "" };

inline constexpr base::event_definition ejectionLimited { .id = "MB-1403",
    .level = base::log_level::Warning,
    .name = "ejection_limited",
    .meaning = "A target met the conditions for ejection, but half of its failure domain is already ejected.",
    .action = "Check the failure domain; drain it if it is faulty as a whole." };

inline constexpr base::event_definition targetCold { .id = "MB-1404",
    .level = base::log_level::Warning,
    .name = "target_cold",
    .meaning = "Service times far above expectation indicate that the target is cold; its ramp restarts.",
    .action = "Check the target for a restart or a fault if the event repeats." };

inline constexpr base::event_definition rampComplete { .id = "MB-1405",
    .level = base::log_level::Info,
    .name = "ramp_complete",
    .meaning = "The target is warm and receives work up to its full concurrency.",
    .action = "" };

inline constexpr std::array allEvents { targetEjected, targetReturned, ejectionLimited, targetCold,
    rampComplete };

} // namespace marigold::routing::events
