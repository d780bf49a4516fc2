#pragma once

#include "member.h"

#include <string>
#include <vector>

namespace marigold::control {

/// Members whose records are piggybacked on the next messages, least often sent first (SWIM, section 4.1).
///
/// State changes take precedence over load changes. The queue contains ids only, so that the newest record is
/// sent.
class update_queue {
public:
    /// Queues the record of \a id. \a urgent is set for a state change, and not for a load change.
    void push(const std::string& id, bool urgent);

    /// Returns up to \a maxCount ids for one message. Each is removed from the queue once it has been sent
    /// often enough for \a members processes. At most two ids of a message are load changes.
    std::vector<std::string> take(std::size_t maxCount, std::size_t members);

    bool empty() const { return m_items.empty(); }
    std::size_t size() const { return m_items.size(); }

private:
    struct item {
        std::string id;
        bool urgent = false;
        unsigned sent = 0;
        std::uint64_t order = 0;
    };

    std::vector<item> m_items;
    std::uint64_t m_order = 0;
};

} // namespace marigold::control
