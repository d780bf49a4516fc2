#include <net/net.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace marigold::net;

TEST_CASE("server-sent events are decoded from any split of the byte stream")
{
    // Guards against events that are lost or joined when a chunk ends in the middle of a line.
    CHECK(rc::check("round trip", [] {
        const auto texts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab \n:{}"))));
        std::string stream;
        for (std::size_t i = 0; i < texts.size(); ++i)
            stream += encodeEvent(texts[i], std::to_string(i));
        event_stream_decoder decoder;
        std::vector<event_stream_decoder::event> events;
        std::size_t at = 0;
        while (at < stream.size()) {
            const auto length = *rc::gen::inRange<std::size_t>(1, 20);
            for (auto& event : decoder.feed(std::string_view(stream).substr(at, length)))
                events.push_back(std::move(event));
            at += length;
        }
        RC_ASSERT(events.size() == texts.size());
        for (std::size_t i = 0; i < texts.size(); ++i) {
            RC_ASSERT(events[i].data == texts[i]);
            RC_ASSERT(events[i].id == std::to_string(i));
        }
    }));
}

TEST_CASE("an endpoint is parsed strictly")
{
    // Guards against a mistyped address that is accepted as another one.
    CHECK(endpoint::parse("http://127.0.0.1:80") == endpoint { "127.0.0.1", 80 });
    for (const auto* text :
        { "", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:8x", ":80" })
        CHECK(!endpoint::parse(text));
}
