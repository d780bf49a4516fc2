#pragma once

#include <agent/block_mover.h>
#include <agent/run_reader.h>
#include <platform/platform.h>

#include <map>
#include <string>
#include <vector>

namespace marigold::testing {

/// Engine whose streams are controlled by the test.
class fake_engine final : public platform::completion_engine {
public:
    struct stream {
        std::string requestId;
        int next = 0;
        token_callback onToken;
        end_callback onEnd;
    };

    std::map<stream_id, stream> streams;
    std::vector<std::string> started;
    std::vector<std::string> cancelled;
    std::vector<int> resumedFrom;
    bool hasRuns = true; ///< False after a restart of the engine.

    stream_id start(
        const platform::engine_run_options& run, token_callback onToken, end_callback onEnd) override
    {
        started.push_back(run.requestId);
        streams[++m_last] = { run.requestId, 0, std::move(onToken), std::move(onEnd) };
        return m_last;
    }

    stream_id resume(
        std::string_view requestId, int fromIndex, token_callback onToken, end_callback onEnd) override
    {
        resumedFrom.push_back(fromIndex);
        streams[++m_last] = { std::string(requestId), fromIndex, std::move(onToken), std::move(onEnd) };
        if (!hasRuns)
            end(m_last, base::notRun(base::error_reason::NotFound, "no such run"));
        return m_last;
    }

    void detach(stream_id id) override { streams.erase(id); }

    void cancel(std::string_view requestId, callback<void> done) override
    {
        cancelled.emplace_back(requestId);
        done({});
    }

    void chain(std::string_view, std::string_view, callback<platform::engine_chain> done) override
    {
        done(platform::engine_chain {});
    }
    void exportBlock(std::string_view, callback<std::string> done) override { done(std::string()); }
    void importBlock(std::string_view, std::string, callback<void> done) override { done({}); }

    /// Sends tokens up to \a count to the latest stream.
    void sendTokensUpTo(int count)
    {
        auto& current = streams.rbegin()->second;
        while (current.next < count) {
            const int index = current.next++;
            current.onToken({ .index = index, .text = "t" + std::to_string(index) });
        }
    }

    void end(stream_id id, base::result<platform::engine_end> outcome)
    {
        const auto ended = streams.extract(id);
        ended.mapped().onEnd(std::move(outcome));
    }

    void endLatest(base::result<platform::engine_end> outcome)
    {
        end(streams.rbegin()->first, std::move(outcome));
    }

private:
    stream_id m_last = 0;
};

class fake_block_mover final : public agent::block_mover {
public:
    int saves = 0;
    void load(const protocol::run_request&, std::function<void(int)> done) override { done(0); }
    void save(const protocol::run_request&) override { ++saves; }
};

/// Records the calls to a reader.
class fake_reader final : public agent::run_reader {
public:
    std::vector<protocol::run_chunk> chunks;
    std::optional<base::error> problem;
    bool hasStarted = false;
    bool open = true;

    void started() override { hasStarted = true; }
    void writeChunk(const protocol::run_chunk& chunk) override { chunks.push_back(chunk); }
    void failed(const base::error& error) override { problem = error; }
    bool isOpen() const override { return open; }

    std::string text() const
    {
        std::string joined;
        for (const auto& chunk : chunks)
            joined += chunk.text;
        return joined;
    }
};

} // namespace marigold::testing
