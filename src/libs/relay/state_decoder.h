#pragma once

#include "relay_config.h"

#include <platform/kv_store.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace marigold::relay {

/// New weights that the operator names.
struct weights_named {
    std::string model;
    int version = 0;
};

/// A failure domain gets no new work.
struct domain_excluded {
    std::string failureDomain;
};

/// Another process of the system lives.
struct process_present {
    std::string id;
    std::optional<net::endpoint> address = {}; ///< For datagrams between processes.
};

/// The process that gives orders to targets.
struct order_lease {
    std::string holder;
    std::uint64_t token = 0; ///< Grows with each holder.
};

/// What an entry of the platform's store means to the system; `monostate` for an entry of no interest.
using state_item = std::variant<std::monostate, std::shared_ptr<const relay_config>, target_registration,
    weights_named, domain_excluded, process_present, order_lease>;

/// Port to the format of the entries in the platform's store.
class state_decoder {
public:
    virtual ~state_decoder() = default;

    /// Decodes an entry; `InvalidRequest` if it should mean something but cannot be read.
    virtual base::result<state_item> decode(const platform::kv_entry& entry) const = 0;

    /// Returns what the entry under \a key meant, with its identity only.
    virtual state_item removed(std::string_view key) const = 0;

    /// Key under which the process \a id tells that it lives.
    virtual std::string processKey(std::string_view id) const = 0;

    /// Key of the lease on orders.
    virtual std::string orderLeaseKey() const = 0;
};

} // namespace marigold::relay
