#include "claim_sweeper.h"

#include "events.h"

#include <charconv>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace marigold::outcome {

namespace {
constexpr std::size_t pageEntries = 8; // a value may take 1 MB, and a page contains the complete values
} // namespace

claim_sweeper::claim_sweeper(claim_context& context, options opts)
    : m_context(context)
    , m_options(std::move(opts))
{
    arm();
}

claim_sweeper::~claim_sweeper()
{
    m_context.timers.cancel(m_timer);
}

void claim_sweeper::arm()
{
    m_timer = m_context.timers.runAfter(m_options.interval, [this] {
        m_timer = 0;
        start();
    });
}

std::uint64_t claim_sweeper::firstRetained() const
{
    const auto oldest = m_context.time.wallNow().time_since_epoch() - m_options.retention;
    return oldest.count() <= 0 ? 0 : static_cast<std::uint64_t>(oldest / m_options.bucketLength);
}

void claim_sweeper::start()
{
    if (m_options.beforeSweep)
        m_options.beforeSweep(firstRetained());
    if ((m_options.mayRun && !m_options.mayRun()) || !m_context.backoff.allowsCall(m_context.time.now()))
        return arm();
    m_removed = 0;
    readPage({});
}

void claim_sweeper::readPage(std::string_view after)
{
    ++m_context.counts.reads;
    m_context.store.range(m_context.prefix, after, pageEntries,
        [this, alive = std::weak_ptr<bool>(m_context.alive)](
            const base::result<std::vector<platform::kv_entry>>& page) {
            if (alive.expired())
                return;
            if (!page)
                return arm();
            removeNext(*page, 0);
        });
}

std::optional<std::uint64_t> claim_sweeper::bucketOf(std::string_view prefix, std::string_view key)
{
    if (!key.starts_with(prefix))
        return std::nullopt;
    key.remove_prefix(prefix.size());
    std::uint64_t bucket = 0;
    const auto [end, code] = std::from_chars(key.data(), key.data() + key.size(), bucket);
    if (code != std::errc() || end == key.data() + key.size() || *end != '/')
        return std::nullopt;
    return bucket;
}

void claim_sweeper::removeNext(std::vector<platform::kv_entry> page, std::size_t index)
{
    if (index < page.size()) {
        const auto bucket = bucketOf(m_context.prefix, page[index].key);
        if (!bucket)
            return removeNext(std::move(page), index + 1);
        if (*bucket < firstRetained()) {
            ++m_context.counts.writes;
            const std::string key = page[index].key;
            const std::uint64_t revision = page[index].revision;
            m_context.store.remove(key, revision,
                [this, page = std::move(page), index, alive = std::weak_ptr<bool>(m_context.alive)](
                    const base::result<void>& result) {
                    if (alive.expired())
                        return;
                    // The next sweep retries values whose deletion failed.
                    m_removed += result ? 1 : 0;
                    removeNext(page, index + 1);
                });
            return;
        }
    } else if (page.size() == pageEntries) {
        return readPage(page.back().key);
    }
    if (m_removed > 0 && m_context.log)
        m_context.log->write(events::claimBucketsSwept, { { "removed", fmt::to_string(m_removed) } });
    arm();
}

} // namespace marigold::outcome
