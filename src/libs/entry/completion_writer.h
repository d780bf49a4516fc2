#pragma once

#include "caller_request.h"

#include <node/node.h>
#include <outcome/outcome.h>

#include <memory>
#include <string>

namespace marigold::entry {

/// Writes the response to a completion request, as one JSON body or as server-sent events.
class completion_writer {
public:
    virtual ~completion_writer() = default;

    /// Writes the next chunk; \a eventId lets the caller resume an interrupted stream after it.
    virtual void writeChunk(const outcome::answer_chunk& chunk, const std::string& eventId) = 0;

    /// Ends the response with \a problem. A response that has started ends with an error event, so that the
    /// caller can tell it from a complete one.
    virtual void fail(const base::error& problem) = 0;

    /// Returns false if the caller has disconnected or was cut off because it read too slowly.
    virtual bool isOpen() const = 0;
};

/// Returns the writer that fits \a request.
std::unique_ptr<completion_writer> makeCompletionWriter(
    const completion_request& request, node::exchange_ptr exchange);

} // namespace marigold::entry
