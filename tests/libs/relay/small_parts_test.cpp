#include <relay/admission/retry_budgets.h>
#include <relay/admission/send_rate_limiter.h>
#include <relay/context/context_scope.h>
#include <relay/exchange/load_digest.h>
#include <relay/message/event_scanner.h>
#include <relay/store/relay_config.h>

#include <doctest/doctest.h>

#include <algorithm>

#include <fmt/format.h>
#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::relay;

TEST_CASE("the route with the longest prefix of the host is chosen")
{
    // Guards against a request that is sent to the service of a shorter route or of another host.
    const relay_config config({ .version = 1,
        .routes = { { .name = "short", .host = "a", .prefix = "/x/" },
            { .name = "long", .host = "a", .prefix = "/x/y/" },
            { .name = "other", .host = "b", .prefix = "/" } } });
    const auto nameAt = [&](std::string_view host, std::string_view path) -> std::string {
        const route* found = config.findRoute(host, path);
        return found ? found->name : "";
    };
    CHECK(nameAt("a", "/x/1") == "short");
    CHECK(nameAt("a", "/x/y/1") == "long");
    CHECK(nameAt("a", "/x/y") == "short");
    CHECK(nameAt("a", "/x?q=/y/") == "");
    CHECK(nameAt("a", "/z") == "");
    CHECK(nameAt("b", "/x/y/1") == "other");
    CHECK(nameAt("c", "/x/1") == "");
}

TEST_CASE("only the kind of a route allows a repetition, and only a stream may be resumed")
{
    // Guards against an order that runs twice since its route was configured as resumable.
    struct row {
        request_kind kind;
        bool resumable;
        bool mayRepeat;
        bool mayResume;
    };
    for (const row& item : { row { request_kind::Idempotent, false, true, false },
             row { request_kind::Idempotent, true, true, false },
             row { request_kind::NonIdempotent, false, false, false },
             row { request_kind::NonIdempotent, true, false, false },
             row { request_kind::Stream, false, false, false },
             row { request_kind::Stream, true, true, true } }) {
        const route configured { .kind = item.kind, .resumable = item.resumable };
        CAPTURE(nameOf(item.kind));
        CAPTURE(item.resumable);
        CHECK(configured.mayRepeat() == item.mayRepeat);
        CHECK(configured.mayResume() == item.mayResume);
    }
}

TEST_CASE("only complete events are forwarded, without changes")
{
    // Guards against a resumed stream that repeats or omits bytes of the interrupted event.
    CHECK(rc::check("scanner", [] {
        std::string stream;
        const int events = *rc::gen::inRange(0, 12);
        const std::string end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
        for (int i = 1; i <= events; ++i)
            stream += fmt::format("id: {0}{1}data: x{0}{1}{1}", i, end);
        const std::string partial = "id: 999" + end + "data: bro";
        const std::string all = stream + partial;
        event_scanner scanner;
        std::string passed;
        for (std::size_t at = 0; at < all.size();) {
            const auto step = *rc::gen::inRange<std::size_t>(1, 20);
            passed += scanner.feed(std::string_view(all).substr(at, step));
            at += step;
        }
        RC_ASSERT(passed == stream);
        RC_ASSERT(scanner.lastId() == (events == 0 ? "" : std::to_string(events)));
        RC_ASSERT(scanner.takePartial() == partial);
    }));
}

TEST_CASE("all processes together stay below the capacity of a cold target")
{
    // Guards against a cold target that is overloaded by the sum of the requests of several processes.
    CHECK(rc::check("cold", [] {
        const int processes = *rc::gen::inRange(1, 12);
        const double bound = *rc::gen::inRange(14, 60);
        const auto shareOf = [&](std::size_t rank) {
            return send_rate_share {
                .target = { .bound = bound, .processes = static_cast<std::size_t>(processes), .rank = rank },
                .cold = true,
            };
        };
        std::vector<send_rate_limiter> limiters(static_cast<std::size_t>(processes));
        std::vector<base::time_point> sent;
        base::time_point now {};
        for (int i = 0; i < 400; ++i) {
            now += base::duration(*rc::gen::inRange(0, 20'000));
            const auto process = *rc::gen::inRange<std::size_t>(0, limiters.size());
            send_rate_limiter& limiter = limiters[process];
            if (!limiter.allows(shareOf(process).perSecond(), now))
                continue;
            limiter.recordSend(now);
            sent.push_back(now);
        }
        for (std::size_t first = 0; first < sent.size(); ++first) {
            std::size_t last = first;
            while (last < sent.size() && sent[last] < sent[first] + std::chrono::seconds(1))
                ++last;
            RC_ASSERT(static_cast<double>(last - first) <= bound);
        }
    }));
}

TEST_CASE("all processes together stay within the retry budget of a service")
{
    // Guards against retries that multiply with the number of processes (users' rule BUDGET).
    CHECK(rc::check("budget", [] {
        constexpr double share = 0.2;
        constexpr int slack = 54;
        const int processes = *rc::gen::inRange(1, 400);
        const int requests = *rc::gen::inRange(0, 4000);
        std::vector<std::string> ids;
        for (int process = 0; process < processes; ++process)
            ids.push_back("p" + std::to_string(process));
        const std::vector<std::string_view> view(ids.begin(), ids.end());
        int sentAgain = 0;
        for (int process = 0; process < processes; ++process) {
            retry_budgets budgets(
                { .process = ids[static_cast<std::size_t>(process)], .share = share, .slack = slack });
            budgets.setProcesses(view);
            for (int i = 0; i < requests / processes; ++i) {
                budgets.budgetFor("svc").addRequest();
                while (budgets.budgetFor("svc").tryRetry())
                    ++sentAgain;
            }
        }
        RC_ASSERT(sentAgain <= share * requests + slack);
    }));
}

TEST_CASE("scopes and digests are decoded to what was encoded")
{
    // Guards against context of other weights or of an isolated team that is taken for the caller's own.
    CHECK(rc::check("scope", [] {
        context_scope scope { .model = *rc::gen::element<std::string>("m", "a/b", "x-1"),
            .weightVersion = *rc::gen::inRange(0, 1000),
            .isolatedTeam
            = *rc::gen::element<std::string>("", "team", "b/", "!0000000000000007", "%2f", "a b\r\n") };
        scope.isolationDigest
            = scope.isolatedTeam.empty() ? *rc::gen::element<std::uint64_t>(0, 7, ~0ULL) : 0;
        const std::string text = scope.text();
        RC_ASSERT(std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; }));
        const auto read = context_scope::parse(text);
        RC_ASSERT(read.has_value());
        RC_ASSERT(*read == scope);
    }));
    CHECK_FALSE(context_scope::parse("").has_value());
    CHECK_FALSE(context_scope::parse("v1").has_value());
    CHECK_FALSE(context_scope::parse("1").has_value());

    const load_digest digest { .process = "p",
        .sequence = 7,
        .entries = { { .target = ~0ULL,
            .load = { .requests = 2, .prefillTokens = 30, .tokens = 400, .loading = 1 } } } };
    const auto read = decodeLoadDigest(encode(digest));
    REQUIRE(read);
    CHECK(read->process == "p");
    CHECK(read->sequence == 7);
    REQUIRE(read->entries.size() == 1);
    CHECK(read->entries[0].target == digest.entries[0].target);
    CHECK(read->entries[0].load == digest.entries[0].load);
    CHECK_FALSE(decodeLoadDigest("garbage"));
    CHECK_FALSE(decodeLoadDigest(encode(digest).substr(0, 9)));
}
