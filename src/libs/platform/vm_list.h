#pragma once

#include <base/base.h>

#include <functional>
#include <string>
#include <vector>

namespace marigold::platform {

/// A VM as the platform lists it; the list lags by seconds to minutes.
struct listed_vm {
    std::string address; ///< IP number of the VM.
    std::string failureDomain;
    bool leaving = false;
};

/// Port to the platform's list of live and leaving VMs.
class vm_list {
public:
    virtual ~vm_list() = default;

    /// Reads the whole list.
    virtual void read(std::function<void(base::result<std::vector<listed_vm>>)> done) = 0;
};

} // namespace marigold::platform
