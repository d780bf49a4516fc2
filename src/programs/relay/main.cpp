#include <node/command_line.h>
#include <platform_adapter.h>
#include <relay/events.h>
#include <relay/relay.h>

#include <algorithm>
#include <cmath>
#include <csignal>

#include <fmt/format.h>

namespace {

using namespace marigold;

net::endpoint endpointOf(const std::string& text)
{
    return net::endpoint::parse(text).value_or(
        net::endpoint {}); // The format was checked when the settings were loaded.
}

/// Returns how long a graceful shutdown may take if the process is killed after \a graceSeconds.
base::duration drainLimit(double graceSeconds)
{
    constexpr double marginSeconds = 1; // Covers the delay of the signal and the last answers.
    constexpr double longestSeconds = 86'400;
    const double limit = std::max(graceSeconds - marginSeconds, graceSeconds / 2);
    return std::chrono::milliseconds(std::llround(1000 * std::min(limit, longestSeconds)));
}

/// Returns how long callers that read slowly may go on after the drain limit. The rest of the grace covers
/// the delay of the signal.
base::duration lastSendLimit(double graceSeconds)
{
    constexpr double share = 0.7;
    constexpr std::chrono::duration<double> longest { 1 };
    const std::chrono::duration<double> left
        = std::chrono::duration<double>(graceSeconds) - drainLimit(graceSeconds);
    return std::chrono::duration_cast<base::duration>(share * std::clamp(left, left.zero(), longest));
}

/// Bounds of the time within which a change must be in force: more frequent calls would overload the
/// platform's store, and later changes would cost service even where the platform allows them.
constexpr base::duration shortestChangeLimit = std::chrono::milliseconds(500);
constexpr base::duration longestChangeLimit = std::chrono::seconds(6);

relay::relay_options optionsOf(const relay::relay_settings& settings, base::random_source& random)
{
    constexpr std::size_t incarnationBytes = 4;
    return { .process = fmt::format("{}.{}", settings.process, random.hex(incarnationBytes)),
        .failureDomain = settings.failureDomain,
        .callers = endpointOf(settings.callersAddress),
        .peers = endpointOf(settings.peersAddress),
        .metrics = endpointOf(settings.metricsAddress),
        .readiness = endpointOf(settings.readinessAddress),
        .targetsCheckTokens = settings.targetsCheckTokens,
        .orderTakeoverDelay = settings.orderTakeoverDelay,
        .changeLimit = std::clamp<base::duration>(
            std::min(settings.configLimit, settings.leaveLimit), shortestChangeLimit, longestChangeLimit),
        .versionLimit = settings.versionLimit,
        .startGrace = settings.startGrace,
        .retrySlack = settings.retrySlack,
        .retryShare = settings.retryShare,
        .coldFactor = settings.coldFactor,
        .coldSlack = settings.coldSlack,
        .loadReports = settings.loadReports,
        .spread = settings.spread,
        .drainLimit = drainLimit(settings.stopGraceSeconds),
        .lastSendLimit = lastSendLimit(settings.stopGraceSeconds),
        .exposure = { .share = std::min(settings.exposureShare, 1.0), .slack = settings.exposureSlack },
        .rollback = settings.rollback,
        .admissionEnabled = settings.admissionEnabled,
        .hedging = { .enabled = settings.hedgingEnabled,
            .percentile = settings.hedgingPercentile / 100,
            .maxShare = settings.hedgingMaxShare,
            .minDelay = settings.hedgingMinDelay },
        .memory = { .budget = settings.memory.budgetBytes(), .stallTime = settings.memory.stallTime },
        .sockets = settings.memory.sockets(settings.memory.openableDescriptors()) };
}

/// Returns the log line that reports how many lines were dropped.
std::string droppedLine(const relay::relay_settings& settings, std::uint64_t lines)
{
    std::string text;
    const base::event_log log({ .format = base::log_format::Json,
        .process = settings.process,
        .output = [&](std::string_view line) { text = line; } });
    log.write(relay::events::linesDropped, { { "lines", std::to_string(lines) } });
    return text;
}

int serve(const relay::relay_settings& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    base::random_source random = base::random_source::fromSystem();
    base::system_clock clock;
    base::bounded_output output(
        clock, { .describeDropped = [&](std::uint64_t lines) { return droppedLine(settings, lines); } });
    relay::relay_metrics metrics;
    const base::event_log log({ .minimum = settings.logLevel,
        .format = base::log_format::Json,
        .process = settings.process,
        .leveledOutput
        = [&](std::string_view line,
              base::log_level level) { output.write(line, level >= base::log_level::Warning); },
        .onEvent = [&](const base::event_definition& event) { metrics.eventLogged(event.name); } });
    net::event_loop loop;
    net::http_client client(loop);
    platform_adapter::header_dialect dialect;
    platform_adapter::entry_decoder decoder;
    platform_adapter::store_client store(client, { .store = endpointOf(settings.storeAddress) });
    platform_adapter::target_client targets(client, {});
    relay::relay_server server(loop, clock, log,
        { .dialect = dialect,
            .decoder = decoder,
            .store = store,
            .control = targets,
            .context = targets,
            .metrics = metrics },
        optionsOf(settings, random));
    loop.onSignal(SIGTERM, [&] { server.drain(); });
    loop.onSignal(SIGINT, [&] { server.drain(); });
    loop.onSignal(SIGHUP, [&] { server.settingsChanged(); });
    if (const auto started = server.start(); !started) {
        fmt::print(stderr, "{}\n", started.error().message);
        return 1;
    }
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    node::installEarlySignalHandlers();
    relay::relay_settings settings;
    settings::settings_reader reader;
    settings.registerSettings(reader);
    const node::program_description program { .name = "marigold-relay",
        .version = MARIGOLD_VERSION,
        .summary = "Relays requests of callers to targets without agents." };
    if (const auto code = node::readCommandLine(program, reader, argc, argv))
        return *code;
    return serve(settings);
}
