#include "relay_settings.h"

namespace marigold::relay {

namespace {

/// Limits of the platform are accepted in any size: a process that refuses to start is an outage.
constexpr double maxDurationMs = 1e10;
constexpr double maxCount = 1e15;
constexpr double maxNameBytes = 128; // The name is part of a key of the platform's store.

} // namespace

void relay_settings::registerSettings(settings::settings_reader& reader)
{
    using settings::setting_format;
    reader.add("relay.process", &process,
        { .description = "Name of this process.", .maximum = maxNameBytes, .required = true });
    reader.add("relay.failure_domain", &failureDomain,
        { .description = "Failure domain of the VM; empty if there is only one.", .maximum = maxNameBytes });
    reader.add("relay.callers_address", &callersAddress,
        { .description = "Address for callers.", .format = setting_format::Endpoint, .required = true });
    reader.add("relay.peers_address", &peersAddress,
        { .description = "Address for datagrams of the other relay processes.",
            .format = setting_format::Endpoint,
            .required = true });
    reader.add("relay.metrics_address", &metricsAddress,
        { .description = "Address where metrics are served.",
            .format = setting_format::Endpoint,
            .required = true });
    reader.add("relay.readiness_address", &readinessAddress,
        { .description = "Address for the readiness probe of the load balancer.",
            .format = setting_format::Endpoint,
            .required = true });
    reader.add("relay.targets_check_tokens", &targetsCheckTokens,
        { .description = "Whether targets reject orders with an old fencing token." });
    reader.add("relay.order_settle_ms", &orderTakeoverDelay,
        { .description = "Delay between two holders of the lease on orders if targets do not check tokens.",
            .minimum = 0,
            .maximum = maxDurationMs });
    reader.add("relay.config_limit_ms", &configLimit,
        { .description = "Time within which a change of the configuration must be in force.",
            .minimum = 0,
            .maximum = maxDurationMs });
    reader.add("relay.leave_limit_ms", &leaveLimit,
        { .description = "Time after which a target that leaves must get no more requests.",
            .minimum = 0,
            .maximum = maxDurationMs });
    reader.add("relay.version_limit_ms", &versionLimit,
        { .description = "Time after a change of the wanted weight version in which requests may start on "
                         "older weights.",
            .minimum = 0,
            .maximum = maxDurationMs });
    reader.add("relay.start_grace_ms", &startGrace,
        { .description = "Time after its start from which a process must keep the time limits of changes.",
            .minimum = 0,
            .maximum = maxDurationMs });
    reader.add("relay.retry_slack", &retrySlack,
        { .description = "Retries within the budget window that all processes together may make "
                         "beyond the share of the requests.",
            .minimum = 0,
            .maximum = maxCount });
    reader.add("relay.retry_share", &retryShare,
        { .description = "Share of the requests that may be retried.", .minimum = 0, .maximum = maxCount });
    reader.add("relay.cold_factor", &coldFactor,
        { .description = "Multiple of its stated rate that a cold target can serve.",
            .minimum = 0,
            .maximum = maxCount });
    reader.add("relay.cold_slack", &coldSlack,
        { .description = "Requests within a second that a cold target can serve beyond that multiple.",
            .minimum = 0,
            .maximum = maxCount });
    reader.add("relay.stop_grace_s", &stopGraceSeconds,
        { .description = "Time from the stop signal until the platform kills the process.",
            .unit = "s",
            .minimum = 0,
            .maximum = maxCount });
    reader.add("rollout.exposure_share", &exposureShare,
        { .description = "Share of the requests of a service that all processes together may send to a new "
                         "software version until it has been judged.",
            .minimum = 0,
            .maximum = maxCount });
    reader.add("rollout.exposure_slack", &exposureSlack,
        { .description = "Requests that they may send to it beyond that share.",
            .minimum = 0,
            .maximum = maxCount });
    reader.add("rollout.rollback_ms", &rollback,
        { .description = "Time after the 50th bad answer of a software version from which it must get no "
                         "more requests.",
            .minimum = 0,
            .maximum = maxDurationMs });
    reader.addChoice("placement.load_reports", loadReports,
        { { "none", load_report_use::None }, { "with_pace", load_report_use::WithPace },
            { "all", load_report_use::All } },
        { .description = "Which load reports of targets are used: none, those that state the pace of the "
                         "machine, or all." });
    reader.addChoice("placement.spread", spread,
        { { "never", choice_spread::Never }, { "with_pace", choice_spread::WithPace },
            { "always", choice_spread::Always } },
        { .description = "Where prompts are spread over targets of about equal cost: nowhere, at services "
                         "whose targets report a pace, or everywhere." });
    reader.add("store.address", &storeAddress,
        { .description = "Address of the platform's key-value service.",
            .format = setting_format::Endpoint,
            .required = true });
    reader.add("admission.enabled", &admissionEnabled,
        { .description = "Whether requests that cannot be served in time are refused early and teams get "
                         "fair shares when capacity is short." });
    reader.add("hedging.enabled", &hedgingEnabled,
        { .description = "Whether a late request that may be repeated is sent to a second target." });
    reader.add("hedging.percentile", &hedgingPercentile,
        { .description
            = "Percentile of the recent times to the first byte of a service after which a request "
              "is late.",
            .unit = "%",
            .minimum = 50,
            .maximum = 99.9 });
    reader.add("hedging.max_share", &hedgingMaxShare,
        { .description = "Second attempts per request of a service, over all processes.",
            .minimum = 0,
            .maximum = 0.5 });
    reader.add("hedging.min_delay_ms", &hedgingMinDelay,
        { .description = "Shortest time after which a request is late.", .minimum = 1, .maximum = 60'000 });
    reader.addChoice("log.level", logLevel,
        { { "debug", base::log_level::Debug }, { "info", base::log_level::Info },
            { "warning", base::log_level::Warning }, { "error", base::log_level::Error } },
        { .description = "Lowest level that is logged." });
    memory.registerSettings(reader);
}

} // namespace marigold::relay
