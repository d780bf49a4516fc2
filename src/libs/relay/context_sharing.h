#pragma once

#include "context_digest.h"

#include <net/http_types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace marigold::relay {

/// Decides which processes ask a store of context for its events, and passes the answers on to the others.
///
/// A store answers few questions at a time, so at a site with many processes most of them could not ask. The
/// readers of a store are computed by rendezvous hashing from the known processes, so that all agree without
/// messages, and each reader passes its answers on to its share of the others. While the processes disagree
/// on who is there, one of them may be told twice or not at all; it then asks by itself.
class context_sharing {
public:
    struct options {
        std::string process;
        /// Share of the questions that a store answers at a time which readers use; the others are for
        /// processes that have missed events.
        double readerShare = 0.67;
        /// In one datagram, so that it fits into a packet of 1,500 bytes.
        std::size_t eventsPerDatagram = 45;
    };

    using sender = std::function<void(const net::endpoint& to, std::string_view bytes)>;

    context_sharing(sender send, options opts);

    /// Takes the addresses of all processes, this one included, by their ids.
    void setProcesses(const std::map<std::string, net::endpoint>& processes);

    /// Returns true if this process asks the store at \a store, which answers \a simultaneousCalls questions
    /// at a time (0: any number).
    bool isReader(const net::endpoint& store, int simultaneousCalls) const;

    /// Returns true if a digest of \a process may be used.
    bool knows(std::string_view process) const { return m_processes.contains(process); }

    /// Passes \a batch on: what \a store told this process when it knew the events up to \a since, or, if
    /// \a isList, all that the store holds.
    void share(const net::endpoint& store, int simultaneousCalls, std::uint64_t since, bool isList,
        const context_event_batch& batch) const;

private:
    /// Ids of the readers; empty if every process asks.
    std::vector<std::string_view> readersOf(std::string_view store, int simultaneousCalls) const;

    sender m_send;
    options m_options;
    std::map<std::string, net::endpoint, std::less<>> m_processes;
};

} // namespace marigold::relay
