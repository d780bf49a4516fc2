#pragma once

#include "context_digest.h"

#include <net/http_types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace marigold::relay {

/// Decides which processes query a context store for its events, and forwards the replies to the other
/// processes.
///
/// A store serves few queries at a time, so at a site with many processes most of them could not query it.
/// The readers of a store are computed by rendezvous hashing from the known processes, so that all get
/// the same result without communication, and each reader forwards its replies to its share of the other
/// processes. While the processes disagree on the membership, a process may receive digests twice or not at
/// all; in the latter case it queries the store itself.
class context_event_distributor {
public:
    struct options {
        std::string process;
        /// Share of a store's concurrent queries that readers use. The rest is left for processes that have
        /// missed events.
        double readerShare = 0.67;
        /// Keeps a datagram within a packet of 1,500 bytes.
        std::size_t maxEventsPerDatagram = 45;
    };

    using sender = std::function<void(const net::endpoint& to, std::string_view bytes)>;

    context_event_distributor(sender send, options opts);

    /// Sets the addresses of all processes by id, including this one.
    void setProcesses(const std::map<std::string, net::endpoint>& processes);

    /// Returns true if this process queries the store at \a store, which serves \a maxConcurrentQueries
    /// queries at a time (0: any number).
    bool isReader(const net::endpoint& store, int maxConcurrentQueries) const;

    /// Returns true if digests of \a process are accepted.
    bool isKnownProcess(std::string_view process) const { return m_processes.contains(process); }

    /// Forwards \a batch: the events of \a store after \a since, or the complete content of the store if
    /// \a isList.
    void distribute(const net::endpoint& store, int maxConcurrentQueries, std::uint64_t since, bool isList,
        const context_event_batch& batch) const;

    /// Tells the other processes that query \a store that it has \a epoch. A query of theirs that was waiting
    /// when the store restarted may get no reply.
    void announceEpoch(const net::endpoint& store, int maxConcurrentQueries, std::uint64_t epoch) const;

private:
    /// Returns the ids of the readers; empty if every process queries the store.
    std::vector<std::string_view> readersOf(std::string_view store, int maxConcurrentQueries) const;

    sender m_send;
    options m_options;
    std::map<std::string, net::endpoint, std::less<>> m_processes;
};

} // namespace marigold::relay
