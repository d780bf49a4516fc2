#pragma once

#include "standin_server.h"

namespace marigold::standin {

/// Stand-in for a plain service. `POST /orders` executes an order (not idempotent) and counts the executions
/// for the `order_id` in its body; `GET /orders/ID` returns the status of an order; `GET /standin/executions`
/// returns the counts.
class plain_service {
public:
    struct options {
        base::duration serviceTime = std::chrono::milliseconds(5);
    };

    plain_service(net::event_loop& loop, standin_server& server, options opts);

private:
    net::event_loop& m_loop;
    standin_server& m_server;
    options m_options;
    std::map<std::string, int> m_executions;
};

/// Stand-in for the weight store. `GET /weights/MODEL/VERSION` takes a third of a second, and longer while
/// more than `bound` loads run concurrently.
class weight_store {
public:
    struct options {
        int bound = 3;
        base::duration loadTime = std::chrono::milliseconds(333);
    };

    weight_store(net::event_loop& loop, standin_server& server, options opts);

private:
    net::event_loop& m_loop;
    standin_server& m_server;
    options m_options;
    int m_running = 0;
};

/// Stand-in for the VM list of the platform: `PUT /vms` sets the list, `GET /vms` returns it after a lag.
class vm_list_service {
public:
    struct options {
        base::duration lag = std::chrono::seconds(5);
    };

    vm_list_service(net::event_loop& loop, standin_server& server, options opts);

private:
    std::string m_visibleList = R"({"vms":[]})";
};

} // namespace marigold::standin
