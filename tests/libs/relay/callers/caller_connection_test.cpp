#include <relay/callers/caller_connection.h>

#include <doctest/doctest.h>

#include <array>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

using namespace marigold;
using namespace marigold::relay;

TEST_CASE("a connection that closes after its answer waits for a caller that goes on taking it")
{
    // Guards against an answer that ends in the middle 2 s after its request has ended. A caller that takes
    // nothing for that long is given up.
    for (const bool goesOn : { true, false }) {
        CAPTURE(goesOn);
        net::event_loop loop;
        base::system_clock clock;
        resource_guard guard(loop, clock, {});
        std::array<int, 2> sockets {};
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) == 0);
        const int bufferBytes = 4096; // The answer waits in the connection, not in the system.
        setsockopt(sockets[0], SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof(bufferBytes));
        const std::string body(100'000, 'd');
        bool closed = false;
        caller_connection connection(loop, guard, sockets[0],
            { .onRequest = [&](caller_connection& caller, message_head&&,
                               content_buffer&&) { caller.answer(200, {}, body); },
                .onClosed = [&](caller_connection&) { closed = true; } });
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        REQUIRE(write(sockets[1], request.data(), request.size()) == static_cast<ssize_t>(request.size()));
        std::string received;
        std::array<char, 2000> bytes {};
        const auto take = [&] {
            const ssize_t size = read(sockets[1], bytes.data(), bytes.size());
            if (size > 0)
                received.append(bytes.data(), static_cast<std::size_t>(size));
            return size > 0;
        };
        for (int step = 0; step < 100 && !closed; ++step) {
            loop.runAfter(std::chrono::milliseconds(50), [&] { loop.stop(); });
            loop.run();
            if (goesOn || step == 0)
                take();
        }
        while (take()) { }
        CHECK(closed);
        CHECK(received.ends_with(body) == goesOn);
        ::close(sockets[1]);
    }
}
