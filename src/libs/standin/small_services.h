#pragma once

#include "standin_server.h"

namespace marigold::standin {

/// Stand-in for a plain service. `POST /orders` carries out an order (not idempotent) and counts each
/// execution by the `order_id` in its body; `GET /orders/ID` looks one up; `GET /standin/executions` lists
/// the counts.
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

/// Stand-in for the weight store: `GET /weights/MODEL/VERSION` takes a third of a second, and longer while
/// more than `bound` loads run at once.
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

/// Stand-in for the platform's VM list: `PUT /vms` sets it, `GET /vms` returns it after a lag.
class vm_list_service {
public:
    struct options {
        base::duration lag = std::chrono::seconds(5);
    };

    vm_list_service(net::event_loop& loop, standin_server& server, options opts);

private:
    std::string m_visible = R"({"vms":[]})";
};

} // namespace marigold::standin
