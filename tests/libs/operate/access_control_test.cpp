#include <operate/operate.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::operate;

namespace {

/// Returns a reproducible source of bytes for \a seed.
random_bytes seededBytes(std::uint64_t seed)
{
    return [source = base::random_source(seed)](std::span<std::uint8_t> out) mutable {
        for (auto& byte : out)
            byte = static_cast<std::uint8_t>(source.next());
    };
}

std::string bearer(const std::string& key)
{
    return "Bearer " + key;
}

rc::Gen<std::string> anyName()
{
    return rc::gen::nonEmpty(rc::gen::resize(
        20, rc::gen::container<std::string>(rc::gen::element('a', 'Z', '0', '-', '_', '.', 'm', 'b'))));
}

} // namespace

TEST_CASE("a key is valid only for its own team")
{
    // Guards invariant I2: the key of one team must never be accepted for another team, for any pair of
    // names.
    CHECK(rc::check("own team only", [](std::uint64_t seed) {
        const auto random = seededBytes(seed);
        const std::string first = *anyName();
        const std::string second = *anyName();
        RC_PRE(first != second);
        base::manual_clock time;
        access_control access(time, nullptr, random);
        const auto firstKey = issueKey(key_kind::Team, first, random);
        const auto secondKey = issueKey(key_kind::Team, second, random);
        access.setTeam(first, { firstKey->record });
        access.setTeam(second, { secondKey->record });
        RC_ASSERT(access.team(bearer(firstKey->key)).value() == first);
        RC_ASSERT(access.team(bearer(secondKey->key)).value() == second);
        const std::string secret = firstKey->key.substr(firstKey->key.rfind('_'));
        RC_ASSERT(!access.team(bearer("mb_" + second + secret)));
        RC_ASSERT(!access.requireOperator(bearer(firstKey->key), operator_right::Read));
        RC_ASSERT(!access.requireOperator(bearer("mbop_" + first + secret), operator_right::Read));
        // The kind is checked even if an operator has the same name and secret.
        access.setOperator(first, operator_right::Dangerous, { firstKey->record });
        RC_ASSERT(!access.requireOperator(bearer(firstKey->key), operator_right::Read));
        RC_ASSERT(access.requireOperator(bearer("mbop_" + first + secret), operator_right::Read).has_value());
        access.removeTeam(first);
        RC_ASSERT(!access.team(bearer(firstKey->key)));
    }));
}

TEST_CASE("a refusal takes the same number of hash computations for a known and an unknown team")
{
    // Guards against revealing which teams exist by the duration of a refusal.
    base::manual_clock time;
    access_control access(time, nullptr, seededBytes(1));
    const auto key = issueKey(key_kind::Team, "known", seededBytes(2));
    access.setTeam("known", { key->record });
    access.setTeam("two", { key->record, key->record });
    access.setTeam("none", {});
    const std::string secret(64, 'a');
    for (const std::string team : { "known", "two", "none", "unknown" }) {
        const auto before = access.hashCount();
        const auto refused = access.team(bearer(std::string("mb_").append(team).append("_").append(secret)));
        REQUIRE(!refused);
        CHECK(refused.error().reason == base::error_reason::Unauthorized);
        CHECK(refused.error().message == "no valid team key");
        CHECK(access.hashCount() - before == recordsPerHolder);
    }
}

TEST_CASE("during a rotation both keys are valid, afterwards only the new one")
{
    // Guards against callers that are locked out by a rotation, and against an old key that stays valid.
    CHECK(rc::check("overlap", [](std::uint64_t seed) {
        const auto random = seededBytes(seed);
        const auto overlap = std::chrono::seconds(*rc::gen::inRange(1, 100'000));
        base::manual_clock time;
        access_control access(time, nullptr, random);
        std::vector<key_record> records;
        std::vector<std::string> keys;
        for (int i = 0; i < 3; ++i) {
            const auto issued = issueKey(key_kind::Team, "t", random);
            keys.push_back(bearer(issued->key));
            records = rotateKey(records, issued->record, time.wallNow(), overlap);
        }
        access.setTeam("t", records);
        RC_ASSERT(!access.team(keys[0]));
        RC_ASSERT(access.team(keys[1]).has_value());
        RC_ASSERT(access.team(keys[2]).has_value());
        time.advance(overlap - std::chrono::microseconds(1));
        RC_ASSERT(access.team(keys[1]).has_value());
        time.advance(std::chrono::microseconds(1));
        RC_ASSERT(!access.team(keys[1]));
        RC_ASSERT(access.team(keys[2]).has_value());
        // Another rotation must not extend the validity of a key that already has an expiry time.
        key_record ending = records[0];
        ending.expires = time.wallNow() + overlap;
        const auto later = rotateKey({ ending }, records[0], time.wallNow(), 2 * overlap);
        RC_ASSERT(later.size() == 2U);
        RC_ASSERT(later[1].expires == ending.expires);
    }));
}

TEST_CASE("an operator right includes all lesser rights and no greater one")
{
    // Guards against a dangerous operation by an operator with read access only.
    base::manual_clock time;
    std::string logged;
    const base::event_log log({ .output = [&](std::string_view line) { logged += line; } });
    for (int held = 0; held < 3; ++held) {
        for (int needed = 0; needed < 3; ++needed) {
            access_control access(time, &log, seededBytes(3));
            const auto key = issueKey(key_kind::Operator, "ada", seededBytes(4));
            access.setOperator("ada", static_cast<operator_right>(held), { key->record });
            const auto allowed
                = access.requireOperator(bearer(key->key), static_cast<operator_right>(needed));
            CHECK(allowed.has_value() == (held >= needed));
            if (!allowed)
                CHECK(allowed.error().reason == base::error_reason::Forbidden);
            CHECK(!access.team(bearer(key->key)));
            CHECK(logged.find(key->key.substr(key->key.rfind('_') + 1)) == std::string::npos);
        }
    }
    for (const auto right : { operator_right::Read, operator_right::Change, operator_right::Dangerous })
        CHECK(operatorRightFromString(nameOf(right)) == right);
    CHECK(!operatorRightFromString("all"));
}

TEST_CASE("keys come from the random source and round-trip through their text forms; other texts are refused")
{
    // Guards against predictable keys, and against a parser that accepts malformed keys.
    const auto first = issueKey(key_kind::Team, "t", systemRandomBytes);
    const auto second = issueKey(key_kind::Team, "t", systemRandomBytes);
    CHECK(first->key != second->key);
    CHECK(first->record.salt != second->record.salt);
    CHECK(first->key.size() == 3 + 1 + 1 + 64);
    for (const std::string name : { "", "a b", "a/b", "a\n" })
        CHECK(!issueKey(key_kind::Team, name, systemRandomBytes));
    CHECK(rc::check("random text", [&](const std::string& text) {
        base::manual_clock time;
        access_control access(time, nullptr, seededBytes(5));
        access.setTeam("t", { first->record });
        RC_ASSERT(!access.team(text));
        RC_ASSERT(!access.team(bearer(text)));
        RC_ASSERT(!access.team(bearer("mb_t_" + text)));
        RC_ASSERT(!parseKeyRecord(text));
        key_record record = first->record;
        RC_ASSERT(parseKeyRecord(encodeKeyRecord(record)).value() == record);
        record.expires = base::wall_time(base::duration(*rc::gen::inRange<std::int64_t>(0, 1LL << 60)));
        RC_ASSERT(parseKeyRecord(encodeKeyRecord(record)).value() == record);
        std::string damaged = first->key;
        const auto place = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[place] = static_cast<char>(damaged[place] ^ *rc::gen::inRange(1, 128));
        RC_ASSERT(!access.team(bearer(damaged)));
    }));
}

TEST_CASE("refusals are logged at a limited rate")
{
    // Guards against unauthenticated callers that flood the log.
    base::manual_clock time;
    int lines = 0;
    const base::event_log log({ .output = [&](std::string_view) { ++lines; } });
    refusal_log refusals(&log, events::teamKeyRefused, time, std::chrono::seconds(10));
    for (int i = 0; i < 1000; ++i)
        refusals.add("x");
    CHECK(lines == 1);
    time.advance(std::chrono::seconds(10));
    refusals.add("x");
    CHECK(lines == 2);
    CHECK(refusals.total() == 1001);
}

TEST_CASE("a UUIDv7 contains its time and sorts by it")
{
    // Guards against idempotency keys that fail the window check of the claim ledger.
    CHECK(rc::check("time and order", [](std::uint64_t seed) {
        const auto at = *rc::gen::inRange<std::int64_t>(0, (1LL << 48) - 1);
        const auto text = makeUuidV7(base::wall_time(std::chrono::milliseconds(at)), seededBytes(seed));
        const auto later
            = makeUuidV7(base::wall_time(std::chrono::milliseconds(at + 1)), seededBytes(seed + 1));
        RC_ASSERT(text.size() == 36U);
        RC_ASSERT(std::stoll(text.substr(0, 8) + text.substr(9, 4), nullptr, 16) == at);
        RC_ASSERT(text[14] == '7');
        RC_ASSERT(std::string("89ab").find(text[19]) != std::string::npos);
        RC_ASSERT(text < later);
    }));
}
