#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <functional>
#include <map>
#include <memory>

struct bufferevent;

namespace marigold::net {

/// Whether something listens at an address.
enum class probe_result {
    Accepted,
    Refused, ///< The host answered that nothing listens.
    Unknown, ///< No answer within the timeout, or the network failed.
};

/// Opens a TCP connection and closes it again without sending anything.
class connection_probe {
public:
    using handler = std::function<void(probe_result)>;

    explicit connection_probe(event_loop& loop);
    ~connection_probe();
    connection_probe(const connection_probe&) = delete;
    connection_probe& operator=(const connection_probe&) = delete;

    /// Probes \a address and calls \a done with the result, after \a timeout at the latest and possibly
    /// before this call returns.
    void probe(const endpoint& address, base::duration timeout, handler done);

private:
    struct attempt;

    static void onEvent(::bufferevent* events, short what, void* context);
    void finish(::bufferevent* events, probe_result result);

    event_loop& m_loop;
    std::map<::bufferevent*, std::unique_ptr<attempt>> m_attempts;
};

} // namespace marigold::net
