#include <base/base.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace marigold::base;

namespace {

struct pipe_ends {
    int reader = -1;
    int writer = -1;

    pipe_ends()
    {
        std::array<int, 2> ends {};
        REQUIRE(pipe(ends.data()) == 0);
        reader = ends[0];
        writer = ends[1];
        fcntl(reader, F_SETFL, O_NONBLOCK);
    }
    ~pipe_ends()
    {
        close(reader);
        close(writer);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> buffer {};
        ssize_t size = 0;
        while ((size = read(reader, buffer.data(), buffer.size())) > 0)
            text.append(buffer.data(), static_cast<std::size_t>(size));
        return text;
    }
};

std::size_t countLines(const std::string& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

TEST_CASE("a stalled reader does not block the writer, and the number of dropped lines is correct")
{
    // Guards against a process that blocks while writing its log, and against unreported gaps in the log.
    manual_clock clock;
    pipe_ends ends;
    bounded_output output(clock,
        { .descriptor = ends.writer,
            .linesPerSecond = 1'000'000,
            .pendingBytes = 10'000,
            .describeDropped
            = [](std::uint64_t dropped) { return "dropped " + std::to_string(dropped) + "\n"; } });
    const std::string line = std::string(99, 'x') + "\n";
    constexpr std::size_t written = 5000;
    for (std::size_t i = 0; i < written; ++i)
        output.write(line, false); // a blocking write would never return, since the pipe holds 64 KiB
    const std::uint64_t dropped = output.dropped();
    CHECK(dropped > 0);
    std::string text = ends.readAll();
    constexpr std::size_t more = 50;
    for (std::size_t i = 0; i < more; ++i) {
        clock.advance(std::chrono::seconds(1));
        output.write(line, true);
        text += ends.readAll();
    }
    CHECK(output.dropped() == dropped);
    CHECK(text.find("dropped " + std::to_string(dropped) + "\n") != std::string::npos);
    CHECK(countLines(text) == written + more - dropped + 1); // plus the line with the count
}

TEST_CASE("the rate of ordinary lines is limited and does not suppress warnings")
{
    // Guards against logging that consumes CPU time needed for requests under high load.
    manual_clock clock;
    pipe_ends ends;
    bounded_output output(clock, { .descriptor = ends.writer, .linesPerSecond = 10, .alertsPerSecond = 5 });
    for (int i = 0; i < 100; ++i)
        output.write("line\n", false);
    output.write("alert\n", true);
    const std::string text = ends.readAll();
    CHECK(countLines(text) == 11);
    CHECK(text.ends_with("alert\n"));
    CHECK(output.dropped() == 90);
}
