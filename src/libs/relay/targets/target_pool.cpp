#include "target_pool.h"

#include <algorithm>

namespace marigold::relay {

target_pool::target_pool(net::event_loop& loop, const base::clock& time, options opts)
    : m_loop(loop)
    , m_clock(time)
    , m_options(std::move(opts))
{
}

bool target_pool::isReusable(const target_connection& connection, reuse reusable) const
{
    if (!connection.isOpen() || connection.hasUnreadInput())
        return false;
    const base::duration idle = m_clock.now() - connection.idleSince();
    const base::duration usableFor
        = connection.keepAlive().value_or(m_options.idleLimit) - m_options.idleMargin;
    return idle < usableFor && (reusable == reuse::Any || idle < m_options.idleLimitUnrepeatable);
}

target_connection* target_pool::acquire(const net::endpoint& to, reuse reusable, std::size_t maxConnections)
{
    address_record& record = m_addresses[to.text()];
    while (reusable != reuse::None && !record.idle.empty()) {
        target_connection* connection = record.idle.back();
        record.idle.pop_back();
        if (isReusable(*connection, reusable))
            return connection;
        connection->cancel();
    }
    if (record.open >= maxConnections && !record.idle.empty())
        record.idle.front()->cancel();
    if (record.open >= maxConnections)
        return nullptr;
    if (isFull())
        closeLongestIdle();
    if (isFull() || hasShare(record)) {
        if (m_options.onLimited)
            m_options.onLimited();
        return nullptr;
    }
    auto owned = std::make_unique<target_connection>(m_loop,
        target_connection::options { .to = to,
            .onClosed = [this](target_connection& connection) { connectionClosed(connection); },
            .onIdle = [this](target_connection& connection) { connectionIdle(connection); },
            .onStrayBytes =
                [this](const target_connection& connection, stray_place place) {
                    if (m_options.onStrayBytes)
                        m_options.onStrayBytes(connection.to(), place);
                } });
    target_connection* connection = owned.get();
    m_connections.emplace(connection, std::move(owned));
    ++record.open;
    ++m_open;
    return connection;
}

bool target_pool::hasShare(const address_record& record) const
{
    return m_options.maxConnections > 0
        && record.open >= std::max<std::size_t>(1, m_options.maxConnections / 2);
}

bool target_pool::isLimited(const net::endpoint& to) const
{
    const auto found = m_addresses.find(to.text());
    return isFull() || (found != m_addresses.end() && hasShare(found->second));
}

void target_pool::closeIdle(const net::endpoint& to)
{
    const auto found = m_addresses.find(to.text());
    if (found == m_addresses.end())
        return;
    for (target_connection* connection : std::exchange(found->second.idle, {}))
        connection->cancel();
}

void target_pool::closeLongestIdle()
{
    target_connection* longest = nullptr;
    for (const auto& [address, record] : m_addresses)
        if (!record.idle.empty() && (!longest || record.idle.front()->idleSince() < longest->idleSince()))
            longest = record.idle.front();
    if (longest)
        longest->cancel();
}

void target_pool::connectionClosed(target_connection& connection)
{
    address_record& record = m_addresses[connection.to().text()];
    std::erase(record.idle, &connection);
    --record.open;
    --m_open;
    // The connection may still be on the stack in one of its own callbacks.
    m_loop.runAfter(base::duration::zero(), [this, key = &connection] { m_connections.erase(key); });
}

void target_pool::connectionIdle(target_connection& connection)
{
    address_record& record = m_addresses[connection.to().text()];
    if (record.idle.size() >= m_options.maxIdlePerTarget)
        return connection.cancel();
    record.idle.push_back(&connection);
}

} // namespace marigold::relay
