#include "ctl_options.h"

#include <settings/settings.h>

#include <cmath>
#include <cstdlib>
#include <fstream>

#include <cxxopts.hpp>
#include <fmt/format.h>

namespace marigold::ctl {

namespace {

constexpr std::size_t maxKeyBytes = 4096;

cxxopts::Options describeOptions()
{
    cxxopts::Options parser("marigoldctl");
    parser.add_options()("entry", "", cxxopts::value<std::vector<std::string>>())(
        "key-file", "", cxxopts::value<std::string>())("json", "")("yes", "")("help", "")("version", "")(
        "timeout-ms", "", cxxopts::value<std::uint64_t>())("base", "", cxxopts::value<std::uint64_t>())(
        "config-version", "", cxxopts::value<std::uint64_t>())(
        "change-id", "", cxxopts::value<std::string>())("merge", "")("dry-run", "")(
        "wait", "", cxxopts::value<std::uint64_t>())("limit", "", cxxopts::value<std::uint64_t>())(
        "weight", "", cxxopts::value<double>())("burst", "", cxxopts::value<double>())("log", "",
        cxxopts::value<std::vector<std::string>>())("words", "", cxxopts::value<std::vector<std::string>>());
    parser.parse_positional({ "words" });
    return parser;
}

tl::expected<std::string, failure> readKey(const std::string& file)
{
    if (file.empty()) {
        const char* key = std::getenv("MARIGOLD_OPERATOR_KEY");
        return key ? std::string(key) : std::string();
    }
    std::ifstream stream(file);
    std::string key;
    if (!std::getline(stream, key) || key.empty() || key.size() > maxKeyBytes)
        return fail(exit_code::Usage, fmt::format("key file {} cannot be read or contains no key", file));
    while (key.ends_with(' ') || key.ends_with('\r'))
        key.pop_back();
    return key;
}

template <typename T>
void read(const cxxopts::ParseResult& parsed, const std::string& name, std::optional<T>& value)
{
    if (parsed.count(name))
        value = parsed[name].as<T>();
}

template <typename T> void read(const cxxopts::ParseResult& parsed, const std::string& name, T& value)
{
    if (parsed.count(name))
        value = parsed[name].as<T>();
}

std::string findInvalidOption(const ctl_options& options)
{
    constexpr std::uint64_t maxWaitSeconds = 3600;
    constexpr std::uint64_t maxHistoryEntries = 1000;
    constexpr std::size_t maxChangeIdLength = 64;
    for (const auto& entry : options.entries)
        if (!entry.starts_with("http://")
            || !settings::formatError(settings::setting_format::HttpUrl, entry).empty())
            return fmt::format("--entry {}: not of the form http://IP:PORT", entry);
    for (const auto& amount : { options.weight, options.burst })
        if (amount && (!std::isfinite(*amount) || *amount <= 0))
            return "--weight and --burst must be above 0";
    if (options.waitSeconds > maxWaitSeconds)
        return fmt::format("--wait must be at most {} s", maxWaitSeconds);
    if (options.limit == 0 || options.limit > maxHistoryEntries)
        return fmt::format("--limit must be 1 to {}", maxHistoryEntries);
    if (options.timeout.count() < 1 || options.timeout > std::chrono::minutes(10))
        return "--timeout-ms must be 1 to 600000";
    if (options.changeId.size() > maxChangeIdLength
        || !settings::formatError(settings::setting_format::Name, options.changeId).empty())
        return "--change-id must be 1 to 64 letters, digits, '.', '_' or '-'";
    return {};
}

ctl_options collect(const cxxopts::ParseResult& parsed)
{
    ctl_options options;
    read(parsed, "words", options.words);
    read(parsed, "entry", options.entries);
    if (options.entries.empty())
        options.entries = { "http://127.0.0.1:8080" };
    options.json = parsed.count("json") > 0;
    options.yes = parsed.count("yes") > 0;
    options.help = parsed.count("help") > 0;
    options.version = parsed.count("version") > 0;
    if (parsed.count("timeout-ms"))
        options.timeout = std::chrono::milliseconds(parsed["timeout-ms"].as<std::uint64_t>());
    read(parsed, "base", options.base);
    read(parsed, "config-version", options.configVersion);
    read(parsed, "change-id", options.changeId);
    options.merge = parsed.count("merge") > 0;
    options.dryRun = parsed.count("dry-run") > 0;
    read(parsed, "wait", options.waitSeconds);
    read(parsed, "limit", options.limit);
    read(parsed, "log", options.logs);
    read(parsed, "weight", options.weight);
    read(parsed, "burst", options.burst);
    for (const char* flag : { "base", "config-version", "change-id", "merge", "dry-run", "wait", "limit",
             "weight", "burst", "log" })
        if (parsed.count(flag))
            options.givenFlags.insert(flag);
    return options;
}

} // namespace

tl::expected<ctl_options, failure> parseOptions(int argc, const char* const* argv)
{
    ctl_options options;
    std::string keyFile;
    try {
        const auto parsed = describeOptions().parse(argc, argv);
        options = collect(parsed);
        read(parsed, "key-file", keyFile);
    } catch (const cxxopts::exceptions::exception& thrown) {
        return fail(exit_code::Usage, thrown.what());
    }
    if (std::string fault = findInvalidOption(options); !fault.empty())
        return fail(exit_code::Usage, std::move(fault));
    if (options.help || options.version)
        return options;
    auto key = readKey(keyFile);
    if (!key)
        return tl::unexpected(key.error());
    options.key = std::move(*key);
    return options;
}

} // namespace marigold::ctl
