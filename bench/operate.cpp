/// \file
/// \brief Cost of metrics, explanations, access control and message authentication at the target size.

#include <operate/operate.h>

#include <chrono>
#include <cstdlib>
#include <string>
#include <string_view>

#include <fmt/format.h>

using namespace marigold;
using namespace marigold::operate;

namespace {

// From docs/design.md, section 1.2.
constexpr int teams = 2800;
constexpr double controlCoreLimit = 0.016; // Fraction of a core for the control-plane work of a node.
constexpr std::size_t controlMemoryLimit = 64'000'000;
constexpr double requestsPerEntry = 3400.0 / 370;
constexpr double tokensPerEntry = 1.4e6 / 370;
constexpr int calls = 100'000; // Of each operation that takes a few microseconds.
constexpr double datagramsPerSecond = 8; // 4 sent and 4 received per second (section 4.5).

/// Returns the mean time of \a work in microseconds over \a count calls.
template <typename F> double microseconds(int count, F work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i)
        work(i);
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - begin;
    return elapsed.count() / count;
}

std::uint64_t seedOf(int argc, char** argv)
{
    for (int i = 1; i + 1 < argc; ++i)
        if (std::string_view(argv[i]) == "--seed")
            return std::strtoull(argv[i + 1], nullptr, 10);
    return 20261204;
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = seedOf(argc, argv);
    base::random_source random(seed);
    base::manual_clock time;

    metrics measured(time);
    const auto teamOf = [&random] { return "team-" + std::to_string(random.below(teams)); };
    const double requestCost = microseconds(calls, [&](int) {
        const std::string team = teamOf();
        measured.promptTokens(team, 12'000, 1000);
        measured.timeToFirstToken(team, std::chrono::milliseconds(200));
        measured.outcome(base::verdict::Ran, {});
    });
    const double tokenCost
        = microseconds(1'000'000, [&](int) { measured.interTokenTime(std::chrono::milliseconds(20)); });
    std::size_t expositionBytes = 0;
    const double expositionCost
        = microseconds(20, [&](int) { expositionBytes = measured.exposition().size(); });

    explain_ring ring(time);
    const double explainCost = microseconds(50'000, [&](int i) {
        const std::string id = "0191d3a4-7c1e-7b60-8f00-" + std::to_string(100'000'000'000 + i);
        ring.begin(id, "team-1", "transcribe-8b");
        ring.addDecision(id,
            { .chosen = "engine-0001",
                .candidates = { 8, { .target = "engine-0001", .costMs = 12, .reason = "context_hint" } } });
        ring.addAttempt(id, { .target = "engine-0001", .reason = "overloaded" });
        ring.finish(id, base::verdict::Ran, "");
    });

    access_control access(time);
    for (int i = 0; i < teams; ++i)
        access.setTeam("team-" + std::to_string(i), { issueKey(key_kind::Team, "t")->record });
    const auto key = issueKey(key_kind::Team, "known");
    access.setTeam("known", { key->record });
    const std::string knownAuthorization = "Bearer " + key->key;
    const std::string unknownAuthorization = "Bearer mb_unknown" + key->key.substr(key->key.rfind('_'));
    int accepted = 0; // Accepted keys and messages. Refused ones would make the measured cost too small.
    const double knownCost
        = microseconds(calls, [&](int) { accepted += access.team(knownAuthorization).has_value(); });
    const double unknownCost
        = microseconds(calls, [&](int) { accepted += access.team(unknownAuthorization).has_value(); });

    const message_auth::options keys { .current = { .id = "k1", .secret = std::string(32, 's') } };
    message_auth sender(keys, time, random);
    message_auth receiver(keys, time, random);
    const std::string payload(260, 'p');
    const double messageCost = microseconds(calls, [&](int) {
        time.advance(std::chrono::milliseconds(15));
        accepted += receiver.verifyDatagram(sender.signDatagram(payload, "10.0.0.1:7946"), "10.0.0.1:7946")
                        .has_value();
    });

    // Messages and scrapes are control-plane work, with one scrape every 15 s; the other operations are part
    // of requests.
    const double controlCore = (datagramsPerSecond * messageCost + expositionCost / 15) / 1e6;
    const double requestCore
        = (requestsPerEntry * (requestCost + explainCost + knownCost) + tokensPerEntry * tokenCost) / 1e6;
    const bool isWithinLimits
        = controlCore <= controlCoreLimit && ring.bytes() <= controlMemoryLimit && accepted == 2 * calls;
    fmt::print("seed {}\n", seed);
    fmt::print("result: request_us={:.2f} token_us={:.3f} exposition_us={:.0f} exposition_bytes={} "
               "explain_us={:.2f} explain_bytes={} explain_requests={} key_us={:.2f} unknown_key_us={:.2f} "
               "message_us={:.2f} control_core={:.5f} request_core={:.5f} within={}\n",
        requestCost, tokenCost, expositionCost, expositionBytes, explainCost, ring.bytes(), ring.size(),
        knownCost, unknownCost, messageCost, controlCore, requestCore, isWithinLimits);
    return isWithinLimits ? 0 : 1;
}
