#pragma once

#include "caller_request.h"

#include <node/node.h>
#include <outcome/outcome.h>

#include <memory>
#include <string>

namespace marigold::entry {

/// Writes the answer to a completion request in the form that the caller asked for.
class completion_writer {
public:
    virtual ~completion_writer() = default;

    /// Writes the next piece; \a eventId lets the caller continue after a break.
    virtual void piece(const outcome::answer_piece& next, const std::string& eventId) = 0;

    /// Ends the answer with \a problem. An answer that has begun is marked as broken, never silently cut.
    virtual void failed(const base::error& problem) = 0;

    /// Returns false when the caller is too slow or has gone.
    virtual bool isOpen() const = 0;
};

/// Returns the writer that fits \a request.
std::unique_ptr<completion_writer> makeCompletionWriter(
    const completion_request& request, node::exchange_ptr exchange);

} // namespace marigold::entry
