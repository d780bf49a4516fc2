#include <control/control.h>

#include <doctest/doctest.h>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::control;

namespace {

std::string randomName()
{
    return *rc::gen::container<std::string>(
        *rc::gen::inRange<std::size_t>(1, 20), rc::gen::inRange<char>('!', '~'));
}

member randomMember()
{
    return { .id = randomName(),
        .failureDomain = randomName(),
        .region = randomName(),
        .kind = *rc::gen::element(member_kind::Entry, member_kind::Agent),
        .incarnation = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62),
        .state = static_cast<member_state>(*rc::gen::inRange(0, 5)),
        .configVersion = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 40),
        .load = { .running = *rc::gen::arbitrary<std::uint16_t>(),
            .queued = *rc::gen::arbitrary<std::uint16_t>(),
            .bound = *rc::gen::arbitrary<std::uint16_t>(),
            .rampStep = *rc::gen::arbitrary<std::uint8_t>(),
            .weightTag = *rc::gen::arbitrary<std::uint16_t>() },
        .loadSequence = *rc::gen::arbitrary<std::uint32_t>() };
}

membership_message randomMessage()
{
    membership_message message { .type = static_cast<message_type>(*rc::gen::inRange(0, 7)),
        .sequence = *rc::gen::arbitrary<std::uint32_t>(),
        .sender = randomMember(),
        .subject = *rc::gen::arbitrary<bool>() ? randomName() : "",
        .upTo = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62) };
    for (int i = *rc::gen::inRange(0, 9); i > 0; --i)
        message.updates.push_back(randomMember());
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
        message.domains.push_back({ .name = randomName(), .stamp = 4, .reachable = i % 2 == 0 });
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
        message.hashes.push_back({ .name = randomName(), .hash = *rc::gen::arbitrary<std::uint64_t>() });
    return message;
}

} // namespace

TEST_CASE("encoding and decoding preserve a message")
{
    // Guards against fields that are lost or altered between processes.
    CHECK(rc::check("round trip", [] {
        const auto message = randomMessage();
        const auto bytes = encode(message);
        RC_PRE(bytes.size() <= maxDatagramBytes);
        const auto decoded = decodeMessage(bytes);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(encode(*decoded) == bytes);
        RC_ASSERT(decoded->sender.id == message.sender.id);
        RC_ASSERT(decoded->sender.load == message.sender.load);
        RC_ASSERT(decoded->sender.loadSequence == message.sender.loadSequence);
        RC_ASSERT(decoded->updates.size() == message.updates.size());
        for (std::size_t i = 0; i < message.updates.size(); ++i) {
            RC_ASSERT(decoded->updates[i].incarnation == message.updates[i].incarnation);
            RC_ASSERT(decoded->updates[i].state == message.updates[i].state);
            RC_ASSERT(decoded->updates[i].kind == message.updates[i].kind);
            RC_ASSERT(decoded->updates[i].failureDomain == message.updates[i].failureDomain);
        }
    }));
}

TEST_CASE("the decoder refuses random and truncated datagrams, and corrupt ones cause no crash")
{
    // Guards against a crash, excessive work or a table entry caused by input that no process sent.
    CHECK(rc::check("decode", [](const std::string& randomBytes) {
        RC_ASSERT(!decodeMessage(randomBytes));
        auto bytes = encode(randomMessage());
        RC_ASSERT(!decodeMessage(bytes.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size()))));
        RC_ASSERT(!decodeMessage(bytes + 'x'));
        for (int i = 0; i < 20; ++i) {
            auto corrupt = bytes;
            corrupt[*rc::gen::inRange<std::size_t>(0, corrupt.size())] = *rc::gen::arbitrary<char>();
            if (const auto decoded = decodeMessage(corrupt))
                RC_ASSERT(decodeMessage(encode(*decoded)).has_value());
        }
    }));
    CHECK(!decodeMessage(std::string(maxDatagramBytes, '\x91')));
    CHECK(!decodeMessage(std::string("\xdd\xff\xff\xff\xff", 5)));
    CHECK(!decodeMessage(std::string("\xc6\xff\xff\xff\xff", 5)));
}

TEST_CASE("a datagram signed with another key is refused")
{
    // Guards against table changes by a process outside the fleet.
    CHECK(rc::check("authentication", [](const std::string& bytes, const std::string& key) {
        const hmac_authenticator own(key);
        const hmac_authenticator other(key + "x");
        RC_ASSERT(own.verify(bytes, own.sign(bytes)));
        RC_ASSERT(!own.verify(bytes, other.sign(bytes)));
        RC_ASSERT(!own.verify(bytes + 'x', own.sign(bytes)));
        RC_ASSERT(!own.verify(bytes, own.sign(bytes).substr(1)));
    }));
}
