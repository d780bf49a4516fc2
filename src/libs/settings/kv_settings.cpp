#include "kv_settings.h"

#include "settings_reader.h"

namespace marigold::settings {

void kv_settings::registerSettings(settings_reader& reader)
{
    reader.add("kv.endpoint", &endpoint,
        { .description = "Address of the key-value service.",
            .format = setting_format::HttpUrl,
            .required = true });
    reader.add("kv.connect_timeout_ms", &connectTimeout,
        { .description = "Timeout for opening a connection.", .minimum = 10, .maximum = 60'000 });
    reader.add("kv.call_timeout_ms", &callTimeout,
        { .description = "Timeout for the response to a read or write.", .minimum = 10, .maximum = 60'000 });
    reader.add("kv.watch_patience_ms", &watchDuration,
        { .description = "Maximum time that a watch stays open without a change.",
            .minimum = 1'000,
            .maximum = 300'000 });
    reader.add("kv.backoff_minimum_ms", &backoffMinimum,
        { .description = "Initial delay before a failed call is retried.", .minimum = 1, .maximum = 60'000 });
    reader.add("kv.backoff_maximum_ms", &backoffMaximum,
        { .description = "Maximum delay before a failed call is retried.",
            .minimum = 1,
            .maximum = 600'000 });
    reader.addCheck([this]() -> std::string {
        if (backoffMinimum > backoffMaximum)
            return "kv.backoff_minimum_ms: exceeds kv.backoff_maximum_ms";
        return {};
    });
}

} // namespace marigold::settings
