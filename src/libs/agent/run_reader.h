#pragma once

#include <base/base.h>
#include <protocol/protocol.h>

#include <memory>

namespace marigold::agent {

/// Receives the chunks of a run on behalf of the entry that reads the response.
class run_reader {
public:
    virtual ~run_reader() = default;

    /// The run has started after its admission, or a stream is resumed.
    virtual void started() = 0;

    /// Passes the next chunk; the final one completes the response.
    virtual void writeChunk(const protocol::run_chunk& chunk) = 0;

    /// The run or the resumption failed; no further call follows.
    virtual void failed(const base::error& problem) = 0;

    /// Returns false if the reader has disconnected or was cut off because it read too slowly.
    virtual bool isOpen() const = 0;
};

} // namespace marigold::agent
