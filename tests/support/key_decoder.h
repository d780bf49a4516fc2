#pragma once

#include <relay/store/state_decoder.h>

#include <string>
#include <string_view>

namespace marigold::testing {

/// For tests of what a process writes to the platform's store: the key of a process is its id, and no entry
/// has a meaning.
class key_decoder : public relay::state_decoder {
public:
    base::result<relay::state_item> decode(const platform::kv_entry&) const override
    {
        return relay::state_item {};
    }
    relay::state_item removed(std::string_view) const override { return {}; }
    std::string processKey(std::string_view id) const override { return std::string(id); }
    std::string quarantineKey(std::string_view) const override { return {}; }
    std::string orderLeaseKey() const override { return "lease"; }
};

} // namespace marigold::testing
