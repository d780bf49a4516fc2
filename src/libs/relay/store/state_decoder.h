#pragma once

#include "relay_config.h"
#include <relay/exchange/quarantine_record.h>
#include <relay/rollout/rollout_record.h>

#include <platform/kv_store.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace marigold::relay {

/// A new wanted weight version, set by the operator.
struct wanted_weights {
    std::string model;
    int version = 0;
};

/// A failure domain that gets no new work.
struct excluded_domain {
    std::string failureDomain;
};

/// A running process of the system.
struct running_process {
    std::string id;
    std::optional<net::endpoint> address = {}; ///< For datagrams between processes.
};

/// The process that sends orders to targets.
struct order_lease {
    std::string holder;
    std::uint64_t createdRevision = 0; ///< Of the key; orders the holders of one era of the store.
    std::uint64_t lease = 0; ///< Of the store, on which the key hangs.
};

/// What a process or an operator has stored of parts that end targets.
struct quarantine_entry {
    std::string key;
    std::uint64_t revision = 0; ///< Of the store.
    quarantine_batch batch = {};
    std::optional<blocked_part> operatorBlock = {};
};

/// Meaning of an entry of the platform's store; `monostate` for an entry that is not used.
using state_item
    = std::variant<std::monostate, std::shared_ptr<const relay_config>, target_registration, wanted_weights,
        excluded_domain, running_process, order_lease, quarantine_entry, rollout_request, rollout_status>;

/// Interface to the format of the entries in the platform's store.
class state_decoder {
public:
    virtual ~state_decoder() = default;

    /// Decodes an entry; returns `InvalidRequest` if its key is one that the relay uses but its value
    /// cannot be decoded.
    virtual base::result<state_item> decode(const platform::kv_entry& entry) const = 0;

    /// Returns the removed entry under \a key, with its identity only.
    virtual state_item removed(std::string_view key) const = 0;

    /// Returns the key that announces the process \a id.
    virtual std::string processKey(std::string_view id) const = 0;

    /// Returns the key of the lease on orders.
    virtual std::string orderLeaseKey() const = 0;

    /// Returns the key of the quarantine records \a name.
    virtual std::string quarantineKey(std::string_view name) const = 0;

    /// Returns the key of the state of the roll-out of \a service.
    virtual std::string rolloutStatusKey(std::string_view service) const { return std::string(service); }

    /// Returns the entry that states \a status.
    virtual std::string rolloutStatusValue(const rollout_status& status) const
    {
        return std::string(nameOf(status.state));
    }
};

} // namespace marigold::relay
