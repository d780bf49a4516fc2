#pragma once

#include <base/base.h>

#include <functional>
#include <string>
#include <vector>

namespace marigold::platform {

/// A VM in the list of the platform; the list lags by seconds to minutes.
struct listed_vm {
    std::string address; ///< IP address of the VM.
    std::string failureDomain;
    bool leaving = false;
};

/// Port to the platform's list of running and leaving VMs.
class vm_list {
public:
    virtual ~vm_list() = default;

    /// Reads the complete list.
    virtual void read(std::function<void(base::result<std::vector<listed_vm>>)> done) = 0;
};

} // namespace marigold::platform
