#pragma once

#include "vm_list.h"

#include <net/net.h>

namespace marigold::platform {

/// Reads the VM list of the platform over HTTP: `GET /vms` returns
/// `{"vms": [{"address", "failure_domain", "leaving"}]}`.
class http_vm_list final : public vm_list {
public:
    http_vm_list(net::http_client& client, net::endpoint service)
        : m_client(client)
        , m_service(std::move(service))
    {
    }

    void read(std::function<void(base::result<std::vector<listed_vm>>)> done) override;

private:
    net::http_client& m_client;
    net::endpoint m_service;
};

} // namespace marigold::platform
