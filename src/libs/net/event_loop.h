#pragma once

#include <base/base.h>

#include <functional>
#include <memory>

struct event_base;

namespace marigold::net {

/// The event loop of a process: sockets, timers and signals, all on the thread that calls `run`.
class event_loop final : public base::scheduler {
public:
    event_loop();
    ~event_loop() override;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until `stop` is called.
    void run();

    /// Ends `run` after the current callback.
    void stop();

    base::timer_id runAfter(base::duration delay, std::function<void()> task) override;
    void cancel(base::timer_id id) override;

    /// Runs \a task every \a interval until the loop is destroyed.
    void runEvery(base::duration interval, std::function<void()> task);

    /// Calls \a handler on the loop each time \a signalNumber is received.
    void onSignal(int signalNumber, std::function<void()> handler);

    /// Returns the libevent handle, for adapters.
    ::event_base* handle() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace marigold::net
