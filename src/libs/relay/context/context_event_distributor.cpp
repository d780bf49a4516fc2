#include "context_event_distributor.h"

#include <algorithm>

namespace marigold::relay {

context_event_distributor::context_event_distributor(sender send, options opts)
    : m_send(std::move(send))
    , m_options(std::move(opts))
{
}

void context_event_distributor::setProcesses(const std::map<std::string, net::endpoint>& processes)
{
    m_processes.clear();
    m_processes.insert(processes.begin(), processes.end());
}

std::vector<std::string_view> context_event_distributor::readersOf(
    std::string_view store, int maxConcurrentQueries) const
{
    if (maxConcurrentQueries <= 0 || m_processes.size() <= static_cast<std::size_t>(maxConcurrentQueries))
        return {};
    struct candidate {
        std::uint64_t score;
        std::string_view process;
    };
    std::vector<candidate> candidates;
    candidates.reserve(m_processes.size());
    for (const auto& [process, address] : m_processes)
        candidates.push_back({ .score = base::rendezvousScore(store, process), .process = process });
    const auto readers
        = static_cast<std::ptrdiff_t>(std::max(1.0, maxConcurrentQueries * m_options.readerShare));
    std::ranges::partial_sort(candidates, candidates.begin() + readers, std::greater<> {}, &candidate::score);
    std::vector<std::string_view> out;
    for (auto i = candidates.begin(); i != candidates.begin() + readers; ++i)
        out.push_back(i->process);
    return out;
}

bool context_event_distributor::isReader(const net::endpoint& store, int maxConcurrentQueries) const
{
    const auto readers = readersOf(store.text(), maxConcurrentQueries);
    // A process that its peers do not know yet receives no digests.
    return readers.empty() || !m_processes.contains(m_options.process)
        || std::ranges::find(readers, m_options.process) != readers.end();
}

void context_event_distributor::distribute(const net::endpoint& store, int maxConcurrentQueries,
    std::uint64_t since, bool isList, const context_event_batch& batch) const
{
    const std::string name = store.text();
    const auto readers = readersOf(name, maxConcurrentQueries);
    const auto self = std::ranges::find(readers, m_options.process);
    if (self == readers.end())
        return;
    const auto ownIndex = static_cast<std::size_t>(self - readers.begin());
    std::vector<std::string> datagrams;
    for (const context_digest& chunk : split({ .process = m_options.process,
                                               .store = name,
                                               .since = since,
                                               .chunkNumber = isList ? std::optional(0) : std::nullopt,
                                               .batch = batch },
             m_options.maxEventsPerDatagram))
        datagrams.push_back(encode(chunk));
    for (const auto& [process, address] : m_processes) {
        const bool isOwnShare = base::hash64(process) % readers.size() == ownIndex;
        if (!isOwnShare || std::ranges::find(readers, process) != readers.end())
            continue;
        for (const std::string& datagram : datagrams)
            m_send(address, datagram);
    }
}

void context_event_distributor::announceEpoch(
    const net::endpoint& store, int maxConcurrentQueries, std::uint64_t epoch) const
{
    const auto readers = readersOf(store.text(), maxConcurrentQueries);
    const std::string datagram
        = encode({ .process = m_options.process, .store = store.text(), .batch = { .epoch = epoch } });
    for (const auto& [process, address] : m_processes) {
        const bool isReader = readers.empty() || std::ranges::find(readers, process) != readers.end();
        if (isReader && process != m_options.process)
            m_send(address, datagram);
    }
}

} // namespace marigold::relay
