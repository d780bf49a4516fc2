#include "sample_config.h"

#include <doctest/doctest.h>

#include <algorithm>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::control;
using marigold::testing::sampleDocument;

namespace {

base::result<config_effect> dryRunMergePatch(std::string body)
{
    const config_state current { .version = 5, .document = sampleDocument() };
    return dryRun(current, { .baseVersion = 5, .kind = patch_kind::MergePatch, .body = std::move(body) });
}

base::result<config_effect> dryRunJsonPatch(std::string body)
{
    const config_state current { .version = 5, .document = sampleDocument() };
    return dryRun(current, { .baseVersion = 5, .kind = patch_kind::JsonPatch, .body = std::move(body) });
}

struct invalid_case {
    std::string body;
    std::string field;
};

} // namespace

TEST_CASE("an invalid document is refused with the path of the field")
{
    // Guards against a typing error that is silently ignored, or whose location is not reported.
    const std::vector<invalid_case> cases {
        { R"({"teams":{"x":{"block_secret":"s"}}})", "/teams/x/key_records" },
        { R"({"teams":{"x":{"key_records":["zz"],"block_secret":"s"}}})", "/teams/x/key_records/0" },
        { R"({"teams":{"x":{"key_records":[],"block_secret":""}}})", "/teams/x/block_secret" },
        { R"({"teams":{"x":{"key_records":[],"block_secret":"s","weight":0}}})", "/teams/x/weight" },
        { R"({"teams":{"x":{"key_records":[],"block_secret":"s","weight":"3"}}})", "/teams/x/weight" },
        { R"({"teams":{"x":{"key_records":[],"block_secret":"s","limits":{"requests_per_second":0}}}})",
            "/teams/x/limits/requests_per_second" },
        { R"({"teams":{"x":{"key_records":[],"block_secret":"s","limits":{"concurrent_requests":0}}}})",
            "/teams/x/limits/concurrent_requests" },
        { R"({"teams":{"x":{"key_records":[],"block_secret":"s","limits":{"tokens_per_second":-1}}}})",
            "/teams/x/limits/tokens_per_second" },
        { R"({"teams":{"x":{"key_records":[],"block_secret":"s","colour":1}}})", "/teams/x/colour" },
        { R"({"teams":[]})", "/teams" },
        { R"({"models":{"m":{"version":"v","policy":"fastest"}}})", "/models/m/policy" },
        { R"({"models":{"m":{"version":7}}})", "/models/m/version" },
        { R"({"services":{"s":{"idempotent":[1]}}})", "/services/s/idempotent/0" },
        { R"({"failure_domains":{"a/b":{"in_service":1}}})", "/failure_domains/a~1b/in_service" },
        { R"({"targets":{"t":{"address":"a","failure_domain":"d","region":"r","kind":"gpu"}}})",
            "/targets/t/kind" },
        { R"({"targets":{"t":{"address":"a","failure_domain":"d","region":"r","kind":"engine"}}})",
            "/targets/t/model" },
        { R"({"operators":{"o":{"key_records":["1"],"rights":[]}}})", "/operators/o/key_records/0" },
        { R"({"operators":{"o":{"key_records":[],"rights":["root"]}}})", "/operators/o/rights/0" },
        { R"({"weight_stores":{"w":{"concurrent_loads":0}}})", "/weight_stores/w/concurrent_loads" },
        { R"({"drained_targets":{"t":1}})", "/drained_targets/t" },
        { R"({"capacity_floor":1.5})", "/capacity_floor" },
        { R"({"capacity":1})", "/capacity" },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.body);
        const auto parsed = config_document::parse(entry.body);
        REQUIRE(!parsed);
        CHECK(parsed.error().field == entry.field);
    }
    for (const char* text : { "", "[]", "null", "{", R"({"teams":{},"teams":{}})", "{\"a\":\"\xff\"}" })
        CHECK(!config_document::parse(text));
    CHECK(!config_document::parse(std::string(100000, '[')));
    CHECK(!config_document::parse(std::string(maxDocumentBytes + 1, ' ')));
}

TEST_CASE("all fields of a document are parsed")
{
    // Guards against a field that is mapped to a different one, or ignored.
    const auto content = sampleDocument().content();
    CHECK(content.teams.at("big").weight == 3);
    CHECK(content.teams.at("big").limits.requestsPerSecond == 50);
    CHECK(!content.teams.at("big").limits.tokensPerSecond);
    CHECK(content.models.at("m").wantedVersion == "v1");
    CHECK(content.models.at("m").adapters.at("a").team == "big");
    CHECK(content.services.at("orders").idempotent == std::vector<std::string> { "status" });
    CHECK(content.targets.at("t1").failureDomain == "hall-alta");
    CHECK(content.targets.at("s0").kind == target_kind::Store);
    CHECK(content.operators.at("op").mayChange);
    CHECK(!content.operators.at("op").mayUseDangerous);
    CHECK(content.weightStores.at("w").concurrentLoads == 3);
    CHECK(content.isInService(content.targets.at("t1"), "t1"));
    CHECK(config_document::parse(sampleDocument().text())->digest() == sampleDocument().digest());
}

TEST_CASE("a change that would cause an outage or lock out all operators is refused with the path")
{
    // Guards against an outage caused by a single operator command.
    const std::vector<invalid_case> mergePatches {
        { R"({"failure_domains":{"hall-bodo":{"in_service":false},"hall-alta":{"in_service":false}}})",
            "/failure_domains/hall-bodo/in_service" },
        { R"({"teams":{"bgi":{"weight":2}}})", "/teams/bgi" },
        { R"({"teams":{"nobody":null}})", "/teams/nobody" },
        { R"({"teams":{"big":null}})", "/models/m/adapters/a/team" },
        { R"({"teams":{"big":{"limits":{"requests_per_second":0}}}})",
            "/teams/big/limits/requests_per_second" },
        { R"({"weight_stores":{"w":{"concurrent_loads":0}}})", "/weight_stores/w/concurrent_loads" },
        { R"({"models":{"m":null}})", "/models/m" },
        { R"({"models":null})", "/models/m" },
        { R"({"operators":{"op":{"rights":["read"]}}})", "/operators" },
        { R"({"services":{"orders":null}})", "/services/orders" },
        { R"({"failure_domains":{"hall-alta":null}})", "/targets/t1/failure_domain" },
        { R"({"targets":{"t1":{"model":"other"}}})", "/targets/t1/model" },
        { R"({"targets":{"t1":{"address":"10.0.0.0:7400"}}})", "/targets/t1/address" },
        { R"({"drained_targets":{"t9":true}})", "/drained_targets/t9" },
        { R"({"drained_targets":{"t0":true,"t1":true,"t2":true}})", "/drained_targets/t0" },
        { R"({"capacity_floor":1,"models":{"m":{"wanted_version":"v2"}}})", "/models/m/wanted_version" },
        { R"({"drained_targets":{"t0":true,"t1":true},"models":{"m":{"wanted_version":"v2"}}})",
            "/models/m/wanted_version" },
    };
    for (const auto& entry : mergePatches) {
        CAPTURE(entry.body);
        const auto effect = dryRunMergePatch(entry.body);
        REQUIRE(!effect);
        CHECK(effect.error().verdict == base::verdict::NotRun);
        CHECK(effect.error().field == entry.field);
    }
    CHECK(dryRunMergePatch(R"({"failure_domains":{"hall-bodo":{"in_service":false}}})"));
    CHECK(dryRunMergePatch(R"({"drained_targets":{"t0":true,"t1":true}})"));
    CHECK(dryRunMergePatch(R"({"models":{"m":{"wanted_version":"v2"}}})"));
}

TEST_CASE("an invalid JSON Patch is refused with the path of its operation")
{
    // Guards against an assertion failure in the JSON library, and against partially applied patches.
    const std::vector<invalid_case> cases {
        { R"([{"op":"replace","path":"/teams/none/weight","value":2}])", "/teams/none/weight" },
        { R"([{"op":"add","path":"/capacity_floor/x","value":2}])", "/capacity_floor/x" },
        { R"([{"op":"add","path":"/teams/big/key_records/9","value":"x"}])", "/teams/big/key_records/9" },
        { R"([{"op":"test","path":"/capacity_floor","value":0.9}])", "/capacity_floor" },
        { R"([{"op":"remove","path":""}])", "" },
        { R"([{"op":"move","from":"/none","path":"/x"}])", "/x" },
        { R"([{"op":"explode","path":"/teams"}])", "/teams" },
        { R"([{"op":"add","path":"teams","value":{}}])", "teams" },
        { R"([7])", "/0" },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.body);
        const auto effect = dryRunJsonPatch(entry.body);
        REQUIRE(!effect);
        CHECK(effect.error().field == entry.field);
    }
    CHECK(!dryRunJsonPatch("{}"));
    CHECK(!dryRunMergePatch("[]"));
}

TEST_CASE("a dry run lists the changed paths, and a conflict names both versions")
{
    // Guards against a preview that omits a change, and against a conflict message without the versions,
    // which an operator needs to resolve it.
    const auto effect = dryRunJsonPatch(R"([{"op":"replace","path":"/teams/big/weight","value":4},
        {"op":"add","path":"/failure_domains/hall-tromso","value":{}}])");
    REQUIRE(effect);
    CHECK(effect->changedPaths
        == std::vector<std::string> { "/failure_domains/hall-tromso", "/teams/big/weight" });
    const auto conflict
        = dryRun({ .version = 9, .document = sampleDocument() }, { .baseVersion = 7, .body = "[]" });
    REQUIRE(!conflict);
    CHECK(conflict.error().reason == base::error_reason::Conflict);
    CHECK(conflict.error().message.find("version 7") != std::string::npos);
    CHECK(conflict.error().message.find("version is 9") != std::string::npos);
}

TEST_CASE("an accepted change can be undone exactly")
{
    // Guards against a rollback that results in a different document.
    CHECK(rc::check("inverse", [] {
        const config_state current { .version = 5, .document = sampleDocument() };
        const std::string weight = std::to_string(*rc::gen::inRange(1, 1000));
        const std::string body = *rc::gen::elementOf(std::vector<std::string> {
            R"({"teams":{"big":{"weight":)" + weight + "}}}",
            R"({"teams":{"big":{"key_records":null,"weight":)" + weight + "}}}",
            R"({"teams":{"new~/x":{"key_records":[],"block_secret":"é","weight":)" + weight + "}}}",
            R"({"targets":{"t2":null,"s0":{"region":"r)" + weight + R"("}}})",
            R"({"models":{"m":{"wanted_version":"v)" + weight + R"(","adapters":null}}})",
        });
        const auto effect = dryRunMergePatch(body);
        if (!effect)
            RC_DISCARD("refused");
        const auto undone = applyPatch(effect->document, patch_kind::JsonPatch, effect->inverse);
        RC_ASSERT(undone.has_value());
        RC_ASSERT(undone->digest() == current.document.digest());
        const auto redone = applyPatch(
            current.document, patch_kind::JsonPatch, patchBetween(current.document, effect->document));
        RC_ASSERT(redone.has_value());
        RC_ASSERT(redone->digest() == effect->document.digest());
    }));
}

TEST_CASE("decoders refuse random and truncated input, and corrupt input causes no crash")
{
    // Guards against a crash, and against a partially decoded record after corruption in transit.
    config_patch patch { .version = 3, .changeId = "3-x", .author = "op", .body = "[]", .inverse = "[]" };
    const std::string encoded = patch.encode();
    REQUIRE(config_patch::decode(encoded)->encode() == encoded);
    CHECK(rc::check("decoders", [&](const std::string& randomBytes) {
        std::string corrupt = encoded;
        corrupt[*rc::gen::inRange<std::size_t>(0, corrupt.size())] = *rc::gen::arbitrary<char>();
        if (const auto decoded = config_patch::decode(corrupt))
            RC_ASSERT(config_patch::decode(decoded->encode()).has_value());
        RC_ASSERT(
            !config_patch::decode(encoded.substr(0, *rc::gen::inRange<std::size_t>(0, encoded.size()))));
        RC_ASSERT(!config_patch::decode(randomBytes));
        RC_ASSERT(!pull_answer::decode(randomBytes));
        RC_ASSERT(!config_document::parse(randomBytes));
        RC_ASSERT(!dryRunJsonPatch(randomBytes).has_value());
    }));
}
