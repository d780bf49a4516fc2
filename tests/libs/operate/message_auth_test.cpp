#include <operate/operate.h>

#include <doctest/doctest.h>

#include <string>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::operate;

namespace {

message_key key(const std::string& id)
{
    return { .id = id, .secret = id + std::string(32, 's') };
}

struct fixture {
    base::manual_clock time;
    base::random_source random { 7 };
    message_auth::options both { .current = key("k2"), .previous = key("k1") };
    message_auth sender { both, time, random };
    message_auth receiver { both, time, random };

    fixture() { time.advance(std::chrono::seconds(1)); }
};

enum class transport {
    Datagram,
    Http,
};

constexpr std::string_view audience = "127.0.0.1:7946";

std::string sign(message_auth& auth, transport kind, std::string_view body)
{
    return kind == transport::Datagram ? auth.signDatagram(body, audience)
                                       : auth.signHttp("POST", "/agent/run", body, audience);
}

bool accepts(message_auth& auth, transport kind, std::string_view message, std::string_view body,
    std::string_view to = audience)
{
    if (kind == transport::Http)
        return auth.verifyHttp("POST", "/agent/run", body, to, message).has_value();
    const auto payload = auth.verifyDatagram(message, to);
    return payload && *payload == body;
}

} // namespace

TEST_CASE("a message is accepted once and only by its receiver")
{
    // Guards against replays, and against a message that a process accepts although it was sent to another
    // one.
    CHECK(rc::check("once", [](const std::string& body) {
        for (const auto kind : { transport::Datagram, transport::Http }) {
            fixture f;
            const std::string message = sign(f.sender, kind, body);
            RC_ASSERT(!accepts(f.receiver, kind, message, body, "127.0.0.1:7947"));
            RC_ASSERT(accepts(f.receiver, kind, message, body));
            RC_ASSERT(!accepts(f.receiver, kind, message, body));
            const std::string again = sign(f.sender, kind, body);
            RC_ASSERT(accepts(f.receiver, kind, again, body));
        }
    }));
}

TEST_CASE("a message with any changed byte is refused")
{
    // Guards against a field that the signature does not cover.
    CHECK(rc::check("one bit", [](const std::string& body) {
        for (const auto kind : { transport::Datagram, transport::Http }) {
            fixture f;
            std::string message = sign(f.sender, kind, body);
            const auto place = *rc::gen::inRange<std::size_t>(0, message.size());
            message[place] = static_cast<char>(message[place] ^ (1 << *rc::gen::inRange(0, 8)));
            RC_ASSERT(!accepts(f.receiver, kind, message, body));
            RC_ASSERT(f.receiver.acceptedCount() == 0U);
        }
        fixture f;
        const std::string header = f.sender.signHttp("POST", "/a", body, audience);
        RC_ASSERT(!f.receiver.verifyHttp("PUT", "/a", body, audience, header));
        RC_ASSERT(!f.receiver.verifyHttp("POST", "/b", body, audience, header));
        RC_ASSERT(!f.receiver.verifyHttp("POST", "/a", body + "x", audience, header));
        RC_ASSERT(f.receiver.verifyHttp("POST", "/a", body, audience, header).has_value());
    }));
}

TEST_CASE("random bytes are refused")
{
    // Guards against crashing on or accepting arbitrary external bytes.
    CHECK(rc::check("random", [](const std::string& bytes) {
        fixture f;
        const std::string prefix
            = *rc::gen::element<std::string>("", "\x01", "\x01\x02k2", "v1 k2 1 ", "v1 ");
        const std::string message = prefix + bytes;
        RC_ASSERT(!f.receiver.verifyDatagram(message, audience));
        RC_ASSERT(!f.receiver.verifyHttp("GET", "/", "", audience, message));
        RC_ASSERT(f.receiver.refusedCount() == 2U);
        RC_ASSERT(!parseMessageKey(bytes.substr(0, 31)));
        for (std::size_t length = 0; length < message.size(); length += 7)
            RC_ASSERT(!f.receiver.verifyDatagram(message.substr(0, length), audience));
    }));
    fixture f;
    CHECK(!f.receiver.verifyDatagram(std::string(message_auth::maxDatagramBytes + 1, '\x01'), audience));
}

TEST_CASE("a message is accepted within the time window and refused outside")
{
    // Guards against accepting an old message whose nonce is no longer recorded.
    struct window_case {
        std::chrono::seconds shift;
        bool accepted;
    };
    const std::vector<window_case> cases { { std::chrono::seconds(-31), false },
        { std::chrono::seconds(-30), true }, { std::chrono::seconds(0), true },
        { std::chrono::seconds(30), true }, { std::chrono::seconds(31), false } };
    for (const auto& c : cases) {
        fixture f;
        f.time.advance(std::chrono::seconds(100));
        const std::string message = f.sender.signDatagram("m", audience);
        f.time.shiftWall(c.shift);
        CHECK(accepts(f.receiver, transport::Datagram, message, "m") == c.accepted);
    }
}

TEST_CASE("no message is accepted twice with a full record or a clock that is set back")
{
    // Guards against a replay of a message whose nonce was removed to limit memory.
    CHECK(rc::check("no replay", [] {
        fixture f;
        message_auth::options small = f.both;
        small.maxAcceptedMessages = 4;
        message_auth receiver(small, f.time, f.random);
        f.time.advance(std::chrono::seconds(1));
        std::vector<std::string> accepted;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-20, 60));
        for (const int step : steps) {
            f.time.shiftWall(std::chrono::seconds(step));
            std::string message = f.sender.signDatagram("m", audience);
            if (receiver.verifyDatagram(message, audience))
                accepted.push_back(std::move(message));
            RC_ASSERT(receiver.acceptedCount() <= 4U);
            for (const auto& earlier : accepted)
                RC_ASSERT(!receiver.verifyDatagram(earlier, audience));
        }
    }));
}

TEST_CASE("a restarted receiver refuses messages from before its start")
{
    // Guards against a replay to a process whose recorded messages were lost with its VM.
    fixture f;
    const std::string message = f.sender.signDatagram("m", audience);
    f.time.advance(std::chrono::seconds(1));
    message_auth restarted(f.both, f.time, f.random);
    CHECK(!accepts(restarted, transport::Datagram, message, "m"));
    CHECK(accepts(restarted, transport::Datagram, f.sender.signDatagram("m", audience), "m"));
}

TEST_CASE("keys can be rotated one process at a time")
{
    // Guards against a rotation during which processes refuse each other, and against an old key that stays
    // valid.
    fixture f;
    struct rotation_case {
        std::string senderKey;
        bool accepted;
    };
    for (const auto& c :
        { rotation_case { "k1", true }, rotation_case { "k2", true }, rotation_case { "k0", false } }) {
        f.sender.setKeys(key(c.senderKey), {});
        for (const auto kind : { transport::Datagram, transport::Http })
            CHECK(accepts(f.receiver, kind, sign(f.sender, kind, "m"), "m") == c.accepted);
    }
    f.receiver.setKeys(key("k2"), {});
    f.sender.setKeys(key("k1"), {});
    CHECK(!accepts(f.receiver, transport::Datagram, f.sender.signDatagram("m", audience), "m"));
    message_key impostor { .id = "k2", .secret = std::string(34, 'x') };
    f.sender.setKeys(impostor, {});
    CHECK(!accepts(f.receiver, transport::Datagram, f.sender.signDatagram("m", audience), "m"));
    CHECK(parseMessageKey("k1:" + std::string(32, 's'))->id == "k1");
}
