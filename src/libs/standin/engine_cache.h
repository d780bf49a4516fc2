#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::standin {

/// Prefix cache of the model engine stand-in: complete blocks of prompts, with eviction of the least recently
/// used block.
///
/// The content of a block identifies its chain and weight version, so that a run detects blocks that do not
/// belong to its prompt or version.
class engine_cache {
public:
    struct options {
        std::size_t capacityBlocks = 64;
        std::size_t blockBytes = 4096; ///< Bytes of prompt text, about a thousand tokens.
        std::size_t contentBytes = 16384; ///< Bytes of one exported block.
    };

    /// A change of the cache, as published to subscribers.
    struct event {
        bool stored = true;
        std::string block;
    };

    explicit engine_cache(options opts)
        : m_options(opts)
    {
    }

    /// Returns the names of the complete blocks of \a prompt with \a salt, chained over the prefix.
    std::vector<std::string> chain(std::string_view salt, std::string_view prompt) const;

    /// Returns the number of leading blocks of \a names that are held, and marks them as used.
    std::size_t lookUp(const std::vector<std::string>& names);

    /// Returns whether the first \a count blocks were made for their own names and \a version.
    bool verify(const std::vector<std::string>& names, std::size_t count, std::string_view version) const;

    /// Adds a block computed with \a version.
    void insertComputed(const std::string& name, std::string_view version);

    /// Adds a block with imported content; engines do not check it.
    void insertImported(const std::string& name, std::string content);

    /// Returns the content of \a name for export.
    std::optional<std::string> content(const std::string& name) const;

    void clear();

    std::size_t size() const { return m_blocks.size(); }
    const options& limits() const { return m_options; }

    /// Returns the changes since the last call.
    std::vector<event> takeEvents();

private:
    struct block {
        std::string content;
        std::list<std::string>::iterator position;
    };

    void insert(const std::string& name, std::string content);
    std::string makeContent(std::string_view name, std::string_view version) const;

    options m_options;
    std::map<std::string, block> m_blocks;
    std::list<std::string> m_usageOrder; ///< Most recently used first.
    std::vector<event> m_events;
};

} // namespace marigold::standin
