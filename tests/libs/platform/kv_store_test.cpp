#include <platform/platform.h>
#include <standin/standin.h>

#include "support/fake_kv_store.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>

using namespace marigold;
using platform::kv_entry;

namespace {

/// Fixture with a store under test, and a function to wait for its next reply.
struct store_fixture {
    virtual ~store_fixture() = default;
    virtual platform::kv_store& store() = 0;
    virtual void wait(const std::function<bool()>& isDone) = 0;

    template <typename T, typename Call> base::result<T> callAndWait(Call call)
    {
        std::optional<base::result<T>> outcome;
        call([&](base::result<T> result) { outcome = std::move(result); });
        wait([&] { return outcome.has_value(); });
        return *outcome;
    }

    base::result<std::optional<kv_entry>> get(std::string_view key)
    {
        return callAndWait<std::optional<kv_entry>>([&](auto done) { store().get(key, done); });
    }

    base::result<std::uint64_t> put(platform::kv_write write)
    {
        return callAndWait<std::uint64_t>([&](auto done) { store().put(std::move(write), done); });
    }
};

struct fake_fixture final : store_fixture {
    base::manual_clock clock;
    base::manual_scheduler timers { clock };
    testing::fake_kv_store fake { clock, timers };

    platform::kv_store& store() override { return fake; }
    void wait(const std::function<bool()>& isDone) override
    {
        while (!isDone())
            timers.advance(std::chrono::milliseconds(1));
    }
};

struct http_fixture final : store_fixture {
    net::event_loop loop;
    standin::standin_server server { loop, {} };
    standin::kv_service service { loop, server, {} };
    net::http_client client { loop };
    std::unique_ptr<platform::http_kv_store> adapter;

    http_fixture()
    {
        REQUIRE(server.listen());
        adapter = std::make_unique<platform::http_kv_store>(
            client, platform::http_kv_store::options { .service = { "127.0.0.1", server.port() } });
    }

    platform::kv_store& store() override { return *adapter; }
    void wait(const std::function<bool()>& isDone) override
    {
        std::function<void()> poll = [&] {
            if (isDone())
                return loop.stop();
            loop.runAfter(std::chrono::milliseconds(1), poll);
        };
        poll();
        if (!isDone())
            loop.run();
    }
};

void checkContract(store_fixture& fixture)
{
    // Guards against a fake that accepts more than the service: both must fulfill the same contract.
    const std::string binary("a\0b\xff", 4);
    const auto first = fixture.put({ .key = "config/a", .value = binary, .expectedRevision = 0 });
    REQUIRE(first);
    const auto again = fixture.put({ .key = "config/a", .value = "x", .expectedRevision = 0 });
    REQUIRE(!again);
    CHECK(again.error().reason == base::error_reason::Conflict);
    CHECK(again.error().verdict == base::verdict::NotRun);

    const auto read = fixture.get("config/a");
    REQUIRE(read);
    REQUIRE(read->has_value());
    CHECK((*read)->value == binary);
    CHECK((*read)->revision == *first);
    CHECK(fixture.get("config/none")->has_value() == false);

    const auto second = fixture.put({ .key = "config/b", .value = "2", .expectedRevision = {} });
    REQUIRE(second);
    CHECK(*second > *first);
    const auto list = fixture.callAndWait<std::vector<kv_entry>>(
        [&](auto done) { fixture.store().range("config/", "config/a", 10, done); });
    REQUIRE(list);
    REQUIRE(list->size() == 1);
    CHECK(list->front().key == "config/b");

    const auto watched = fixture.callAndWait<platform::kv_watch_batch>(
        [&](auto done) { fixture.store().watch("config/", *first, std::chrono::milliseconds(50), done); });
    REQUIRE(watched);
    REQUIRE(watched->changes.size() == 1);
    CHECK(watched->changes.front().value == "2");
    const auto idle = fixture.callAndWait<platform::kv_watch_batch>([&](auto done) {
        fixture.store().watch("config/", watched->revision, std::chrono::milliseconds(30), done);
    });
    REQUIRE(idle);
    CHECK(idle->changes.empty());

    const auto lease = fixture.callAndWait<std::uint64_t>(
        [&](auto done) { fixture.store().grantLease(std::chrono::seconds(5), done); });
    REQUIRE(lease);
    REQUIRE(fixture.put({ .key = "held", .value = "1", .lease = *lease }));
    CHECK(fixture.callAndWait<void>([&](auto done) { fixture.store().keepAlive(*lease, done); }).has_value());
    CHECK(
        fixture.callAndWait<void>([&](auto done) { fixture.store().revokeLease(*lease, done); }).has_value());
    CHECK(fixture.get("held")->has_value() == false);
    const auto ended = fixture.callAndWait<void>([&](auto done) { fixture.store().keepAlive(*lease, done); });
    REQUIRE(!ended);
    CHECK(ended.error().reason == base::error_reason::NotFound);

    const auto stale
        = fixture.callAndWait<void>([&](auto done) { fixture.store().remove("config/a", *second, done); });
    REQUIRE(!stale);
    CHECK(stale.error().reason == base::error_reason::Conflict);
    CHECK(fixture.callAndWait<void>([&](auto done) { fixture.store().remove("config/a", *first, done); })
              .has_value());
}

} // namespace

TEST_CASE("the fake key-value service fulfills the contract of the port")
{
    fake_fixture fixture;
    checkContract(fixture);
}

TEST_CASE("the HTTP adapter and the stand-in fulfill the contract of the port")
{
    http_fixture fixture;
    checkContract(fixture);
}

TEST_CASE("each fault of the service results in the matching verdict")
{
    // Guards against treating a lost reply as a write without effect.
    struct fault_case {
        const char* fault;
        bool takesEffect;
        base::verdict verdict;
    };
    const fault_case cases[] { { "unavailable", false, base::verdict::NotRun },
        { "lost_request", false, base::verdict::MayHaveRun },
        { "lost_answer", true, base::verdict::MayHaveRun } };
    for (const auto& row : cases) {
        CAPTURE(row.fault);
        http_fixture fixture;
        std::optional<bool> faultInstalled;
        fixture.client.send(
            { .to = { "127.0.0.1", fixture.server.port() },
                .method = "POST",
                .target = "/standin/faults",
                .body = std::string(R"([{"match":"/v1/kv","kind":")") + row.fault + R"(","count":1}])" },
            [&](const auto& answer) { faultInstalled = answer && answer->status == 200; });
        fixture.wait([&] { return faultInstalled.has_value(); });
        REQUIRE(*faultInstalled);
        const auto written = fixture.put({ .key = "k", .value = "v", .expectedRevision = 0 });
        REQUIRE(!written);
        CHECK(written.error().verdict == row.verdict);
        CHECK(fixture.get("k")->has_value() == row.takesEffect);
    }
}
