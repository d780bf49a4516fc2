#include "engine_cache.h"

#include <base/base.h>

#include <fmt/format.h>

namespace marigold::standin {

std::vector<std::string> engine_cache::chain(std::string_view salt, std::string_view prompt) const
{
    std::vector<std::string> names;
    std::string parent = base::toHex(base::truncate(base::sha256(salt)));
    for (std::size_t at = 0; at + m_options.blockBytes <= prompt.size(); at += m_options.blockBytes) {
        std::string input = parent;
        input += prompt.substr(at, m_options.blockBytes);
        parent = base::toHex(base::truncate(base::sha256(input)));
        names.push_back(parent);
    }
    return names;
}

std::size_t engine_cache::lookUp(const std::vector<std::string>& names)
{
    std::size_t count = 0;
    for (const auto& name : names) {
        const auto found = m_blocks.find(name);
        if (found == m_blocks.end())
            break;
        m_usageOrder.splice(m_usageOrder.begin(), m_usageOrder, found->second.position);
        ++count;
    }
    return count;
}

bool engine_cache::verify(
    const std::vector<std::string>& names, std::size_t count, std::string_view version) const
{
    for (std::size_t i = 0; i < count; ++i) {
        const auto found = m_blocks.find(names[i]);
        if (found == m_blocks.end() || found->second.content != makeContent(names[i], version))
            return false;
    }
    return true;
}

void engine_cache::insertComputed(const std::string& name, std::string_view version)
{
    insert(name, makeContent(name, version));
}

void engine_cache::insertImported(const std::string& name, std::string content)
{
    insert(name, std::move(content));
}

void engine_cache::insert(const std::string& name, std::string content)
{
    const auto found = m_blocks.find(name);
    if (found != m_blocks.end()) {
        found->second.content = std::move(content);
        m_usageOrder.splice(m_usageOrder.begin(), m_usageOrder, found->second.position);
        return;
    }
    while (m_blocks.size() >= m_options.capacityBlocks && !m_usageOrder.empty()) {
        m_events.push_back({ .stored = false, .block = m_usageOrder.back() });
        m_blocks.erase(m_usageOrder.back());
        m_usageOrder.pop_back();
    }
    m_usageOrder.push_front(name);
    m_blocks[name] = { .content = std::move(content), .position = m_usageOrder.begin() };
    m_events.push_back({ .stored = true, .block = name });
}

std::optional<std::string> engine_cache::content(const std::string& name) const
{
    const auto found = m_blocks.find(name);
    if (found == m_blocks.end())
        return std::nullopt;
    return found->second.content;
}

void engine_cache::clear()
{
    for (const auto& name : m_usageOrder)
        m_events.push_back({ .stored = false, .block = name });
    m_blocks.clear();
    m_usageOrder.clear();
}

std::vector<engine_cache::event> engine_cache::takeEvents()
{
    return std::exchange(m_events, {});
}

std::string engine_cache::makeContent(std::string_view name, std::string_view version) const
{
    std::string content = fmt::format("{} {} ", name, version);
    base::random_source random(base::hash64(content));
    content.reserve(m_options.contentBytes + sizeof(std::uint64_t));
    while (content.size() < m_options.contentBytes) {
        const std::uint64_t word = random.next();
        content.append(reinterpret_cast<const char*>(&word), sizeof(word));
    }
    content.resize(m_options.contentBytes);
    return content;
}

} // namespace marigold::standin
