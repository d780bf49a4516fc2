#include "process_settings.h"

#include "settings_reader.h"

namespace marigold::settings {

void process_settings::registerSettings(settings_reader& reader)
{
    reader.add("process.id", &id,
        { .description = "Name of this process, unique in the fleet.",
            .format = setting_format::Name,
            .required = true });
    reader.add("process.failure_domain", &failureDomain,
        { .description = "Failure domain of the VM.", .format = setting_format::Name, .required = true });
    reader.add("process.region", &region,
        { .description = "Region of the VM.", .format = setting_format::Name, .required = true });
    reader.add("process.listen_address", &listenAddress,
        { .description = "Address that the process listens on.",
            .format = setting_format::IpAddress,
            .required = true });
    reader.add("process.listen_port", &listenPort,
        { .description = "Port for other processes: TCP for calls, UDP for membership." });
    reader.add("process.advertised_address", &advertisedAddress,
        { .description = "Address that other processes connect to; `process.listen_address` if empty.",
            .format = setting_format::IpAddress });
    reader.addChoice("process.log_level", logLevel,
        { { "debug", base::log_level::Debug }, { "info", base::log_level::Info },
            { "warning", base::log_level::Warning }, { "error", base::log_level::Error } },
        { .description = "Minimum level of logged events." });
    reader.addChoice("process.log_format", logFormat,
        { { "key_value", base::log_format::KeyValue }, { "json", base::log_format::Json } },
        { .description = "Format of log lines on standard error." });
    reader.add("process.shutdown_limit_ms", &shutdownLimit,
        { .description = "Maximum time that a graceful shutdown waits for running requests.",
            .minimum = 0,
            .maximum = 3'600'000 });
    reader.addCheck([this]() -> std::string {
        const std::string& address = peerAddress();
        if (address == "0.0.0.0" || address == "::")
            return "process.advertised_address: required when process.listen_address is a wildcard";
        return {};
    });
}

} // namespace marigold::settings
