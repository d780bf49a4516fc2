#include "event_loop.h"

#include <algorithm>
#include <csignal>
#include <unordered_map>
#include <vector>

#include <event2/event.h>

namespace marigold::net {

namespace {

struct pending_timer {
    std::unordered_map<base::timer_id, std::unique_ptr<pending_timer>>* owner;
    base::timer_id id;
    std::function<void()> task;
    ::event* handle;

    ~pending_timer() { event_free(handle); }
};

struct signal_watch {
    std::function<void()> handler;
    ::event* handle;

    ~signal_watch() { event_free(handle); }
};

timeval toTimeval(base::duration delay)
{
    const auto microseconds = std::max<std::int64_t>(delay.count(), 0);
    constexpr std::int64_t perSecond = 1'000'000;
    return { .tv_sec = microseconds / perSecond, .tv_usec = microseconds % perSecond };
}

void fireTimer(evutil_socket_t, short, void* argument)
{
    auto* timer = static_cast<pending_timer*>(argument);
    // The task may cancel its own id or destroy the user of the loop, so the record is removed first.
    const auto node = timer->owner->extract(timer->id);
    node.mapped()->task();
}

void fireSignal(evutil_socket_t, short, void* argument)
{
    static_cast<signal_watch*>(argument)->handler();
}

} // namespace

struct event_loop::private_data {
    ::event_base* base = nullptr;
    base::timer_id nextTimer = 1;
    std::unordered_map<base::timer_id, std::unique_ptr<pending_timer>> timers;
    std::vector<std::unique_ptr<signal_watch>> signals;
};

event_loop::event_loop()
    : d(std::make_unique<private_data>())
{
    std::signal(SIGPIPE, SIG_IGN);
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    d->base = event_base_new_with_config(config);
    event_config_free(config);
}

event_loop::~event_loop()
{
    d->timers.clear();
    d->signals.clear();
    event_base_free(d->base);
}

void event_loop::run()
{
    event_base_loop(d->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(d->base);
}

base::timer_id event_loop::runAfter(base::duration delay, std::function<void()> task)
{
    const base::timer_id id = d->nextTimer++;
    auto timer = std::make_unique<pending_timer>();
    timer->owner = &d->timers;
    timer->id = id;
    timer->task = std::move(task);
    timer->handle = evtimer_new(d->base, fireTimer, timer.get());
    const timeval delayValue = toTimeval(delay);
    evtimer_add(timer->handle, &delayValue);
    d->timers.emplace(id, std::move(timer));
    return id;
}

void event_loop::cancel(base::timer_id id)
{
    d->timers.erase(id);
}

void event_loop::runEvery(base::duration interval, std::function<void()> task)
{
    runAfter(interval, [this, interval, task = std::move(task)] {
        runEvery(interval, task);
        task();
    });
}

void event_loop::onSignal(int signalNumber, std::function<void()> handler)
{
    auto watch = std::make_unique<signal_watch>();
    watch->handler = std::move(handler);
    watch->handle = evsignal_new(d->base, signalNumber, fireSignal, watch.get());
    evsignal_add(watch->handle, nullptr);
    d->signals.push_back(std::move(watch));
}

::event_base* event_loop::handle() const
{
    return d->base;
}

} // namespace marigold::net
