#pragma once

#include "entry_settings.h"
#include "target_directory.h"

#include <context/context.h>

#include <functional>
#include <string>
#include <vector>

namespace marigold::entry {

/// Cached context that was found for one prompt.
struct prompt_context {
    std::vector<context::block_key> chain; ///< Keys of the complete blocks.
    std::string cacheSalt; ///< Separates teams, models, versions and adapters in the caches of engines.
    std::vector<routing::prefix_hint> hints;
    int storedBlocks = 0; ///< Leading blocks held by a store.
    std::string storeAddress; ///< Address of that store.
    base::duration transferTime {};
    std::string saveTo; ///< Address of the store to which the blocks of this chain are saved.
};

/// Finds the cached context of a prompt in hints about engines and in the stores selected by placement.
class context_finder {
public:
    context_finder(node::fleet_node& node, target_directory& targets, const entry_settings& settings);

    /// Looks up the context of \a prompt. Calls \a done once, either immediately or after the stores have
    /// replied.
    void find(const context::block_scope& scope, std::string_view team, std::string_view prompt,
        std::function<void(base::result<prompt_context>)> done);

    /// Records that \a target now holds the blocks of \a chain.
    void recordServed(std::span<const context::block_key> chain, routing::target_index target);

    void removeTarget(routing::target_index target);

    std::size_t memoryBytes() const { return m_hints.memoryBytes(); }

private:
    void queryStores(const std::shared_ptr<prompt_context>& found, std::string_view team,
        std::function<void(base::result<prompt_context>)> done);
    void applyReply(prompt_context& found, const std::string& store,
        const base::result<net::http_response>& answer) const;

    node::fleet_node& m_node;
    target_directory& m_targets;
    const entry_settings& m_settings;
    context::context_hints m_hints;
};

} // namespace marigold::entry
