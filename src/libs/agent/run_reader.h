#pragma once

#include <base/base.h>
#include <protocol/protocol.h>

#include <memory>

namespace marigold::agent {

/// Where the pieces of a run go: the entry that reads the answer.
class run_reader {
public:
    virtual ~run_reader() = default;

    /// The run has been admitted and begins, or a resumed stream follows.
    virtual void started() = 0;

    /// The next piece; the final one completes the answer.
    virtual void piece(const protocol::run_piece& next) = 0;

    /// The run or the resume failed; nothing follows.
    virtual void failed(const base::error& problem) = 0;

    /// Returns false when the reader has gone or is too slow to go on.
    virtual bool isOpen() const = 0;
};

} // namespace marigold::agent
