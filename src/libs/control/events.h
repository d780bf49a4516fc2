#pragma once

#include <base/base.h>

#include <array>

/// \file
/// Log events of the control library, MB-16xx.

namespace marigold::control::events {

using base::event_definition;
using base::log_level;

inline constexpr event_definition changeAccepted { "MB-1601", log_level::Info, "config_change_accepted",
    "A configuration change was accepted.", "" };
inline constexpr event_definition proposalUnknown { "MB-1602", log_level::Warning, "config_change_unknown",
    "The key-value service did not confirm a configuration change.",
    "Query the change by its id before proposing it again." };
inline constexpr event_definition snapshotFailed { "MB-1603", log_level::Warning, "config_snapshot_failed",
    "The configuration snapshot was not written; the next accepted change retries it.",
    "Check the key-value service if it repeats." };
inline constexpr event_definition configAdopted { "MB-1604", log_level::Info, "config_adopted",
    "This process adopted a new version of the configuration.", "" };
inline constexpr event_definition digestMismatch { "MB-1605", log_level::Error, "config_digest_mismatch",
    "The digest did not match after a configuration change; the complete document is fetched instead.",
    "Report it with the versions of the processes involved." };
inline constexpr event_definition watchFailed { "MB-1606", log_level::Warning, "config_watch_failed",
    "The watch on configuration changes failed; it is retried with backoff.",
    "Check the key-value service if it repeats." };
inline constexpr event_definition memberSuspect { "MB-1610", log_level::Info, "member_suspect",
    "A member did not respond to direct or indirect probes.", "" };
inline constexpr event_definition memberRemoved { "MB-1611", log_level::Warning, "member_removed",
    "A suspect member was removed after the suspicion timeout.", "Check its VM if it should be running." };
inline constexpr event_definition memberUnreachable { "MB-1612", log_level::Warning, "member_unreachable",
    "A suspect member is kept as unreachable because most of its failure domain is suspect or unresponsive.",
    "Check the network of the failure domain." };
inline constexpr event_definition selfRejoined { "MB-1613", log_level::Warning, "self_rejoined",
    "This process was paused or removed, and rejoins with a higher incarnation.",
    "Check the VM for overload if it repeats." };
inline constexpr event_definition domainUnreachable { "MB-1614", log_level::Warning, "domain_unreachable",
    "No digest of a failure domain was received for several intervals.",
    "Check the network between the domains." };
inline constexpr event_definition datagramRefused { "MB-1615", log_level::Debug, "datagram_refused",
    "A membership datagram was malformed or not authentic.", "" };
inline constexpr event_definition orderSent { "MB-1620", log_level::Info, "order_sent",
    "An order was sent to the engine of this target.", "" };
inline constexpr event_definition orderCancelled { "MB-1621", log_level::Warning, "order_cancelled",
    "The permit expired before the engine responded, and the loading was cancelled.",
    "Check the weight store and the key-value service if it repeats." };
inline constexpr event_definition orderRefused { "MB-1622", log_level::Warning, "order_refused",
    "The engine refused an order.", "Check for a second agent of the same target." };
inline constexpr event_definition slotTakenOver { "MB-1623", log_level::Info, "load_slot_taken_over",
    "A load slot was taken over from a holder whose lease expired.", "" };

inline constexpr std::array allEvents { changeAccepted, proposalUnknown, snapshotFailed, configAdopted,
    digestMismatch, watchFailed, memberSuspect, memberRemoved, memberUnreachable, selfRejoined,
    domainUnreachable, datagramRefused, orderSent, orderCancelled, orderRefused, slotTakenOver };

} // namespace marigold::control::events
