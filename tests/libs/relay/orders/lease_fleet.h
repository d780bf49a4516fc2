#pragma once

#include <relay/orders/order_lease_holder.h>
#include <support/key_decoder.h>
#include <support/store_view.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigold::testing {

inline constexpr base::duration registrationTime = std::chrono::minutes(10);

/// Processes that compete for the lease on orders in a store that returns from copies. Each one learns of a
/// new era from its own replies. Records who could order, with which tokens.
struct lease_fleet {
    struct process {
        store_view view;
        base::random_source random;
        relay::order_lease_holder holder;
        std::optional<std::pair<std::uint64_t, std::uint64_t>> told; ///< Era and revision of the key.

        process(lease_fleet& fleet, std::size_t number, base::duration takeoverDelay)
            : view(fleet.store)
            , random(number + 1)
            , holder(view, fleet.decoder, fleet.timers, fleet.clock, random, fleet.log,
                  { .process = "p" + std::to_string(number),
                      .takeoverDelay = takeoverDelay,
                      .renewsLease = [&fleet, number](std::uint64_t lease) {
                          return number == 1 && lease == fleet.registration;
                      } })
        {
        }
    };

    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    fake_kv_store store { clock, timers };
    base::event_log log { { .output = [](std::string_view) {} } };
    key_decoder decoder;
    std::vector<std::unique_ptr<process>> processes;
    std::vector<bool> isStopped;
    std::uint64_t registration = 0; ///< Lease that the second process renews.
    base::duration step = std::chrono::milliseconds(10); ///< Of the clock.
    std::map<std::uint64_t, std::size_t> holderOfToken;
    int sharedTokens = 0; ///< Steps in which a process could order with the token of another one.
    int lowerTokens = 0; ///< Steps in which a process could order with a token below an earlier one.
    int sendersAtOnce = 0; ///< Most processes that could order at one time.
    /// Shortest time between the end of one process's time to order and the begin of another one's.
    std::optional<base::duration> shortestGap;
    std::optional<std::size_t> lastSender;
    base::time_point lastSentAt {};

    explicit lease_fleet(std::size_t count, base::duration takeoverDelay = base::duration::zero())
        : isStopped(count)
    {
        store.stateEras();
        for (std::size_t i = 0; i < count; ++i)
            processes.push_back(std::make_unique<process>(*this, i, takeoverDelay));
    }

    /// Reads as the follower of the state does: the state once in each era, and then all changes.
    void read(process& reader)
    {
        if (!reader.told || reader.told->first != reader.view.era())
            return reader.view.snapshot("lease", [&reader](base::result<platform::kv_snapshot> state) {
                if (!state)
                    return;
                reader.told = std::pair(reader.view.era(), state->revision);
                tell(reader, state->entries);
            });
        reader.view.watch("lease", reader.told->second, std::chrono::milliseconds(1),
            [&reader, told = *reader.told](base::result<platform::kv_watch_batch> batch) {
                if (!batch || reader.told != told)
                    return;
                reader.told->second = batch->revision;
                if (!batch->changes.empty() || !batch->removals.empty())
                    tell(reader, batch->changes);
            });
    }

    static void tell(process& reader, const std::vector<platform::kv_entry>& present)
    {
        std::optional<relay::order_lease> current;
        if (!present.empty())
            current = relay::order_lease { .holder = present[0].value,
                .createdRevision = present[0].createdRevision,
                .lease = present[0].lease };
        reader.holder.leaseObserved(current, reader.told->second);
    }

    void run(base::duration time)
    {
        constexpr base::duration readInterval = std::chrono::milliseconds(300);
        for (base::duration passed {}; passed < time; passed += step) {
            const auto now = clock.now().time_since_epoch() / step;
            for (std::size_t i = 0; i < processes.size(); ++i)
                if (!isStopped[i] && (now + static_cast<std::int64_t>(i) * 37) % (readInterval / step) == 0)
                    read(*processes[i]);
            timers.advance(step);
            store.endExpiredLeases();
            recordSenders();
        }
    }

    void recordSenders()
    {
        int senders = 0;
        for (std::size_t i = 0; i < processes.size(); ++i) {
            const relay::order_lease_holder& holder = processes[i]->holder;
            if (isStopped[i] || !holder.mayOrder())
                continue;
            ++senders;
            lowerTokens += !holderOfToken.empty() && holder.token() < holderOfToken.rbegin()->first ? 1 : 0;
            sharedTokens += holderOfToken.emplace(holder.token(), i).first->second == i ? 0 : 1;
            if (lastSender && *lastSender != i)
                shortestGap = std::min(shortestGap.value_or(base::duration::max()), clock.now() - lastSentAt);
            lastSender = i;
            lastSentAt = clock.now();
        }
        sendersAtOnce = std::max(sendersAtOnce, senders);
    }

    /// Runs until \a competitor, which has not yet heard of the present era, has asked for a lease in it.
    void runUntilAttempt(const process& competitor)
    {
        while (competitor.view.era() != store.era() || competitor.holder.token() != 0)
            run(step);
        const std::size_t writesBefore = store.writes;
        while (store.writes == writesBefore)
            run(step);
    }

    bool runUntilSender(base::duration limit)
    {
        for (base::duration passed {}; passed < limit; passed += std::chrono::milliseconds(10)) {
            run(std::chrono::milliseconds(10));
            if (sender())
                return true;
        }
        return false;
    }

    process* sender()
    {
        for (std::size_t i = 0; i < processes.size(); ++i)
            if (!isStopped[i] && processes[i]->holder.mayOrder())
                return processes[i].get();
        return nullptr;
    }

    /// Carries a write of \a holder's key out now, under the lease \a lease.
    void writeLate(const std::string& holder, std::uint64_t lease)
    {
        store.put({ .key = "lease", .value = holder, .expectedRevision = 0, .lease = lease },
            [](base::result<std::uint64_t> written) { REQUIRE(written); });
    }

    std::uint64_t grantRegistration()
    {
        std::uint64_t lease = 0;
        store.grantLease(registrationTime, [&](base::result<std::uint64_t> granted) { lease = *granted; });
        timers.advance(store.delay);
        REQUIRE(lease != 0);
        return lease;
    }
};

} // namespace marigold::testing
