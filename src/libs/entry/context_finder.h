#pragma once

#include "entry_settings.h"
#include "target_directory.h"

#include <context/context.h>

#include <functional>
#include <string>
#include <vector>

namespace marigold::entry {

/// What is known about the cached context of one prompt.
struct prompt_context {
    std::vector<context::block_key> chain; ///< Keys of the whole blocks.
    std::string cacheSalt; ///< Separates team, version and adapter in the caches of engines.
    std::vector<routing::prefix_hint> hints;
    int keptBlocks = 0; ///< Leading blocks held by a store.
    std::string keptAt; ///< Address of that store.
    base::duration transferTime {};
    std::string saveTo; ///< Store that should keep the blocks of this chain.
};

/// Finds the cached context of a prompt: hints about engines, and the stores that placement names.
class context_finder {
public:
    context_finder(node::fleet_node& node, target_directory& targets, const entry_settings& settings);

    /// Looks up the context of \a prompt; \a done runs once, at once or after the stores answered.
    void find(const context::block_scope& scope, std::string_view team, std::string_view prompt,
        std::function<void(base::result<prompt_context>)> done);

    /// Records that \a target holds the blocks of \a chain now.
    void served(std::span<const context::block_key> chain, routing::target_index target);

    void forgetTarget(routing::target_index target);

    std::size_t memoryBytes() const { return m_hints.memoryBytes(); }

private:
    void askStores(const std::shared_ptr<prompt_context>& found, std::string_view team,
        std::function<void(base::result<prompt_context>)> done);
    void takeAnswer(prompt_context& found, const std::string& store,
        const base::result<net::http_response>& answer) const;

    node::fleet_node& m_node;
    target_directory& m_targets;
    const entry_settings& m_settings;
    context::context_hints m_hints;
};

} // namespace marigold::entry
