#pragma once

#include <net/net.h>
#include <operate/operate.h>
#include <settings/settings.h>

#include <map>
#include <string>

namespace marigold::node {

/// Limits of what clients may make a process of the fleet hold, with their metrics and log line.
class client_limits {
public:
    client_limits(const settings::memory_settings& settings, const base::clock& time, base::event_log& log,
        operate::metrics& metrics);

    /// Begins to close connections that stall while memory is short.
    void start(net::event_loop& loop);

    /// Returns \a options with the limit of memory.
    net::http_server::options applyTo(net::http_server::options options);

    /// Returns the most connections that clients may have: half of the sockets, since each request may need
    /// one to a target.
    std::size_t maxClients() const;

    /// Returns whether an ordinary request can be accepted.
    bool canServe() const { return m_memory.canServe(); }

private:
    void limited(std::string_view reason);
    void exportHeldBytes();

    const settings::memory_settings& m_settings;
    const base::clock& m_clock;
    base::event_log& m_log;
    operate::metrics& m_metrics;
    net::memory_account m_memory;
    std::map<std::string, base::time_point, std::less<>> m_reported; ///< By reason.
};

} // namespace marigold::node
