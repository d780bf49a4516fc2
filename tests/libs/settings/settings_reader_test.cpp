#include <settings/nearest_key.h>
#include <settings/settings.h>
#include <settings/toml_source.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <unistd.h>

using namespace marigold;
using namespace marigold::settings;

namespace {

enum class colour {
    Red,
    Green,
};

/// Option struct with a member of each type.
struct sample_settings {
    std::int32_t count = 5;
    std::uint16_t port = 80;
    double ratio = 0.5;
    bool active = false;
    std::string title = "none";
    std::chrono::milliseconds limit { 100 };
    base::duration interval = std::chrono::milliseconds(250);
    std::vector<std::string> peers = { "127.0.0.1:1" };
    colour shade = colour::Red;
    std::string token = {};

    void registerSettings(settings_reader& reader)
    {
        reader.add("sample.count", &count, { .description = "d", .minimum = 1, .maximum = 1000 });
        reader.add("sample.port", &port, { .description = "d" });
        reader.add("sample.ratio", &ratio, { .description = "d", .minimum = 0, .maximum = 1 });
        reader.add("sample.active", &active, { .description = "d" });
        reader.add("sample.title", &title, { .description = "d", .maximum = 20, .required = true });
        reader.add("sample.limit_ms", &limit, { .description = "d", .minimum = 1, .maximum = 60'000 });
        reader.add("sample.interval_ms", &interval, { .description = "d" });
        reader.add(
            "sample.peers", &peers, { .description = "d", .maximum = 2, .format = setting_format::Endpoint });
        reader.addChoice("sample.shade", shade, { { "red", colour::Red }, { "green", colour::Green } },
            { .description = "d" });
        reader.add("sample.token", &token, { .description = "d", .maximum = 4, .secret = true });
        reader.addCheck([this]() -> std::string {
            return limit > interval * 1000 ? "sample.limit_ms: too long for sample.interval_ms" : "";
        });
    }

    friend bool operator==(const sample_settings&, const sample_settings&) = default;
};

struct fixture {
    sample_settings sample;
    settings_reader reader;

    fixture() { sample.registerSettings(reader); }
};

struct error_case {
    std::string text;
    std::vector<std::string> environment;
    std::vector<std::string> overrides;
    std::string message;
};

} // namespace

TEST_CASE("each invalid source is rejected with its location and the nearest key")
{
    // Guards against a misspelled or invalid setting that is silently ignored, and against a message without
    // a location.
    const std::vector<error_case> cases {
        { "[sample]\ncuont = 3\n", {}, {},
            "a.toml:2:1: unknown key \"sample.cuont\"; did you mean \"sample.count\"?" },
        { "[simple]\ncount = 3\n", {}, {},
            "a.toml:2:1: unknown key \"simple.count\"; did you mean \"sample.count\"?" },
        { "[other]\n", {}, {}, "a.toml:1:2: unknown section \"other\"" },
        { "\"sample.count\" = 3\n", {}, {}, "a.toml:1:1: unknown key" },
        { "[sample]\n  count = \"3\"\n", {}, {}, "a.toml:2:3: sample.count: expected integer, found text" },
        { "[sample]\ncount = 3.5\n", {}, {}, "a.toml:2:1: sample.count: expected integer, found number" },
        { "[sample]\ncount = 0\n", {}, {}, "a.toml:2:1: sample.count: 0 is outside the range 1 to 1000" },
        { "[sample]\nport = 65536\n", {}, {}, "outside the range 0 to 65535" },
        { "[sample]\nratio = nan\n", {}, {}, "not a finite number" },
        { "[sample]\nactive = 1\n", {}, {}, "expected boolean, found integer" },
        { "[sample]\ntitle = \"\"\n", {}, {}, "a.toml:2:1: sample.title: required and not set" },
        { "[sample]\ntitle = \"twenty-one characters\"\n", {}, {}, "outside the range to 20 bytes" },
        { "[sample]\ntitle = \"a\\nb\"\n", {}, {}, "line break" },
        { "[sample]\nlimit_ms = 0\n", {}, {}, "0 is outside the range 1 to 60000 ms" },
        { "[sample]\nlimit_ms = 1\nlimit_ms = 2\n", {}, {}, "a.toml:3:" },
        { "[sample]\npeers = [1]\n", {}, {}, "expected list of text, found list of other values" },
        { "[sample]\npeers = [\"host:1\"]\n", {}, {}, "\"host:1\" is not of the form IP:PORT" },
        { "[sample]\nshade = \"blue\"\n", {}, {}, "\"blue\" is not one of red, green" },
        { "[sample]\ncount = 1979-05-27\n", {}, {}, "expected integer, found date" },
        { "[sample]\ntoken = \"hidden\"\n", {}, {},
            "sample.token: the value is outside the range to 4 bytes" },
        { "[sample]\n\n# Bod\xc3\xb8\n", {}, {}, "a.toml:3:6: non-ASCII character" },
        { "[{u]", {}, {}, "a.toml:1:2: " },
        { "[sample]\ncount = \n", {}, {}, "a.toml:2:" },
        { "", { "MARIGOLD_SAMPLE_CUONT=3" }, {},
            "environment MARIGOLD_SAMPLE_CUONT: unknown setting; did you mean MARIGOLD_SAMPLE_COUNT?" },
        { "", { "MARIGOLD_SAMPLE_COUNT=3x" }, {},
            "environment MARIGOLD_SAMPLE_COUNT: sample.count: \"3x\" is not" },
        { "", {}, { "sample.cuont=3" }, "--set sample.cuont: unknown key" },
        { "", {}, { "sample.count" }, "--set sample.count: expected section.key=value" },
        { "", {}, { "sample.active=yes" }, "\"yes\" is neither true nor false" },
        { "[sample]\nlimit_ms = 2000\ninterval_ms = 1\n", {}, {}, "sample.limit_ms: too long" },
    };
    for (const auto& c : cases) {
        CAPTURE(c.text);
        CAPTURE(c.message);
        fixture f;
        const auto loaded = f.reader.loadText(
            c.text, { .file = "a.toml", .environment = c.environment, .overrides = c.overrides });
        REQUIRE(!loaded);
        CHECK(loaded.error().verdict == base::verdict::NotRun);
        CAPTURE(loaded.error().message);
        CHECK(loaded.error().message.find(c.message) != std::string::npos);
        CHECK(f.sample == sample_settings());
    }
}

TEST_CASE("a later source takes precedence, and the source of the value in force is reported")
{
    // Guards against a flag or variable that is overridden by the file.
    CHECK(rc::check("default, file, environment, flag", [](bool inFile, bool inEnvironment, bool inFlag) {
        fixture f;
        const settings_sources sources { .file = "a.toml",
            .environment = inEnvironment ? std::vector<std::string> { "MARIGOLD_SAMPLE_COUNT=20", "HOME=/" }
                                         : std::vector<std::string> {},
            .overrides
            = inFlag ? std::vector<std::string> { "sample.count=30" } : std::vector<std::string> {} };
        RC_ASSERT(f.reader.loadText(inFile ? "[sample]\ncount = 10\n" : "", sources).has_value());
        RC_ASSERT(f.sample.count == (inFlag ? 30 : inEnvironment ? 20 : inFile ? 10 : 5));
        const std::string source = inFlag ? "--set"
            : inEnvironment               ? "environment"
            : inFile                      ? "a.toml:2:1"
                                          : "default";
        RC_ASSERT(f.reader.states().front().source == source);
    }));
}

TEST_CASE("each source preserves values")
{
    // Guards against a conversion that changes a value, such as ms read as us.
    CHECK(rc::check("file and flags agree", [](std::uint16_t port, bool active) {
        const int count = *rc::gen::inRange(1, 1001);
        const int limit = *rc::gen::inRange(1, 60'001);
        const auto peers = *rc::gen::resize(2,
            rc::gen::container<std::vector<std::string>>(rc::gen::map(rc::gen::inRange(1, 65536),
                [](int number) { return "10.0.0.1:" + std::to_string(number); })));
        std::string list;
        std::string joined;
        for (const auto& peer : peers) {
            list += "\"" + peer + "\",";
            joined += (joined.empty() ? "" : ", ") + peer;
        }
        fixture fromFile;
        const std::string text = "[sample]\ncount=" + std::to_string(count) + "\nport=" + std::to_string(port)
            + "\nactive=" + (active ? "true" : "false") + "\nlimit_ms=" + std::to_string(limit)
            + "\nshade=\"green\"\npeers=[" + list + "]\n";
        RC_ASSERT(fromFile.reader.loadText(text, {}).has_value());
        fixture fromFlags;
        RC_ASSERT(fromFlags.reader
                      .load({ .overrides
                          = { "sample.count=" + std::to_string(count), "sample.port=" + std::to_string(port),
                              std::string("sample.active=") + (active ? "true" : "false"),
                              "sample.limit_ms=" + std::to_string(limit), "sample.shade=green",
                              "sample.peers=" + joined } })
                      .has_value());
        RC_ASSERT(fromFile.sample == fromFlags.sample);
        RC_ASSERT(fromFile.sample.limit == std::chrono::milliseconds(limit));
        RC_ASSERT(fromFile.sample.peers == peers);
        RC_ASSERT(fromFile.sample.shade == colour::Green);
    }));
}

TEST_CASE("random bytes never crash the reader, and a rejected file changes nothing")
{
    // Guards against a file of a different kind that terminates the process without a message.
    const auto fragment = rc::gen::element<std::string>("[sample]\n", "count", " = ", "3", "\n", "\"", "[",
        "[[", "\t", "\r", "]", "{", "}", ".", "peers", "\\u", "'''", "#", "=", "\xff", "1e9");
    CHECK(rc::check("random bytes", [&](const std::string& bytes, bool isAscii) {
        const auto parts = *rc::gen::container<std::vector<std::string>>(fragment);
        std::string text;
        for (std::size_t i = 0; i < std::max(parts.size(), bytes.size()); ++i) {
            text += i < parts.size() ? parts[i] : "";
            text += i < bytes.size() ? bytes.substr(i, 1) : "";
        }
        // Non-ASCII bytes are rejected before the text is parsed as TOML.
        if (isAscii)
            std::transform(
                text.begin(), text.end(), text.begin(), [](char c) { return static_cast<char>(c & 0x7f); });
        fixture f;
        const auto loaded = f.reader.loadText(text, { .file = "a.toml", .overrides = { bytes } });
        if (!loaded) {
            RC_ASSERT(!loaded.error().message.empty());
            RC_ASSERT(f.sample == sample_settings());
        }
    }));
    const std::string large(maximumSettingsFileBytes + 1, '#');
    CHECK(!parseToml(large));
    CHECK(!parseToml("a = " + std::string(100'000, '[')));
}

TEST_CASE("each format accepts valid text and rejects invalid text")
{
    // Guards against accepting a host name or a missing port where an IP address is required.
    struct format_case {
        setting_format format;
        std::vector<std::string> valid;
        std::vector<std::string> invalid;
    };
    const std::string secret(32, 's');
    const std::vector<format_case> cases {
        { setting_format::Name, { "hall-bodo", "a" }, { "a b", "a/b", std::string(65, 'a') } },
        { setting_format::IpAddress, { "127.0.0.1", "::1" }, { "localhost", "1.2.3", "127.0.0.1:80" } },
        { setting_format::Endpoint, { "127.0.0.1:80", "[::1]:80" },
            { "127.0.0.1", "::1:80", "1.2.3.4:0", "[1.2.3.4]:1", "1.2.3.4:65536", "1.2.3.4:+1" } },
        { setting_format::HttpUrl, { "http://127.0.0.1:80", "https://[::1]:1" },
            { "127.0.0.1:80", "http://host:80", "http://1.2.3.4:80/x" } },
        { setting_format::MessageKey, { "k1:" + secret },
            { secret, "k1:short", ":" + secret, "k1:" + std::string(129, 's') } },
    };
    for (const auto& [format, valid, invalid] : cases) {
        for (const auto& text : valid)
            CHECK(formatError(format, text) == "");
        for (const auto& text : invalid)
            CHECK_MESSAGE(formatError(format, text) != "", text);
    }
}

TEST_CASE("the common settings require an identity and shared keys, and hide secrets")
{
    // Guards against a process without an identity, and against a secret in a dump or message.
    const std::string key = "k1:0123456789abcdef0123456789abcdef";
    process_settings process;
    cluster_settings cluster;
    kv_settings kv;
    tls_settings tls;
    settings_reader reader;
    process.registerSettings(reader);
    cluster.registerSettings(reader);
    kv.registerSettings(reader);
    tls.registerSettings(reader);
    const auto empty = reader.load({});
    REQUIRE(!empty);
    for (const std::string name :
        { "process.id", "process.failure_domain", "process.region", "cluster.message_key", "kv.endpoint" })
        CHECK(empty.error().message.find("settings: " + name + ": required") != std::string::npos);
    const std::vector<std::string> minimal { "process.id=e1", "process.failure_domain=hall-bodo",
        "process.region=region-nord", "cluster.message_key=" + key, "kv.endpoint=http://127.0.0.1:2400" };
    REQUIRE(reader.load({ .environment = { "MARIGOLD_JOBS=4" }, .overrides = minimal }));
    CHECK(reader.ignoredVariables() == std::vector<std::string> { "MARIGOLD_JOBS" });
    CHECK(cluster.messageKey == key);
    for (const auto& state : reader.states())
        CHECK(state.value.find("0123456789") == std::string::npos);
    const std::vector<std::pair<std::string, std::string>> rejected {
        { "process.listen_address=0.0.0.0", "process.advertised_address" },
        { "tls.enabled=true", "tls.certificate_file" },
        { "cluster.previous_message_key=" + key, "same ID" },
        { "cluster.previous_message_key=k0:0123456789", "not of the form ID:SECRET" },
        { "kv.backoff_minimum_ms=20000", "kv.backoff_maximum_ms" },
    };
    for (const auto& [flag, message] : rejected) {
        auto flags = minimal;
        flags.push_back(flag);
        const auto loaded = reader.load({ .overrides = flags });
        REQUIRE(!loaded);
        CHECK(loaded.error().message.find(message) != std::string::npos);
        CHECK(loaded.error().message.find("0123456789") == std::string::npos);
        CHECK(process.listenAddress == "127.0.0.1");
    }
}

TEST_CASE("a file is read from disk, and a missing one is an error")
{
    // Guards against a process that starts with defaults because its file is missing.
    fixture f;
    const auto file = std::filesystem::temp_directory_path()
        / ("marigold-settings-" + std::to_string(getpid()) + ".toml");
    std::ofstream(file) << "[sample]\ncount = 7\n";
    CHECK(f.reader.load({ .file = file.string() }).has_value());
    CHECK(f.sample.count == 7);
    std::filesystem::remove(file);
    for (const auto& missing : { file.string(), std::filesystem::temp_directory_path().string() }) {
        const auto loaded = f.reader.load({ .file = missing });
        REQUIRE(!loaded);
        CHECK(loaded.error().message.find(missing) != std::string::npos);
    }
}

TEST_CASE("two settings with the same environment variable are reported")
{
    // Guards against a setting that cannot be set from the environment because another one has the same
    // variable.
    settings_reader reader;
    int first = 0;
    int second = 0;
    reader.add("a.b_c", &first, { .description = "d" });
    reader.add("a.b.c", &second, { .description = "d" });
    const auto loaded = reader.load({});
    REQUIRE(!loaded);
    CHECK(loaded.error().reason == base::error_reason::Internal);
}

TEST_CASE("the edit distance is a metric on small changes")
{
    // Guards against suggesting a key although another known key is closer.
    CHECK(rc::check("one edit costs one", [](const std::string& text) {
        RC_PRE(!text.empty());
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        std::string shorter = text;
        shorter.erase(position, 1);
        RC_ASSERT(editDistance(text, text) == 0U);
        RC_ASSERT(editDistance(text, shorter) == 1U);
        RC_ASSERT(editDistance(shorter, text) == 1U);
    }));
}
