#pragma once

#include "caller_request.h"
#include "entry_services.h"

namespace marigold::entry {

/// The HTTP interface for callers: completions and plain services, authenticated by team keys.
class caller_api {
public:
    explicit caller_api(entry_services& services)
        : m_services(services)
    {
    }

    void addRoutes(node::http_router& router);

private:
    base::result<caller_context> identify(const net::http_exchange& exchange);
    void complete(const node::exchange_ptr& exchange);
    void callService(const node::exchange_ptr& exchange);
    void listModels(const node::exchange_ptr& exchange);

    entry_services& m_services;
};

} // namespace marigold::entry
