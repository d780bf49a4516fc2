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
        { .description = "Longest time to open a connection.", .minimum = 10, .maximum = 60'000 });
    reader.add("kv.call_timeout_ms", &callTimeout,
        { .description = "Longest time to wait for the answer to a read or write.",
            .minimum = 10,
            .maximum = 60'000 });
    reader.add("kv.watch_patience_ms", &watchPatience,
        { .description = "Longest time that a watch stays open without a change.",
            .minimum = 1'000,
            .maximum = 300'000 });
    reader.add("kv.backoff_minimum_ms", &backoffMinimum,
        { .description = "First delay before a failed call is repeated.", .minimum = 1, .maximum = 60'000 });
    reader.add("kv.backoff_maximum_ms", &backoffMaximum,
        { .description = "Longest delay before a failed call is repeated.",
            .minimum = 1,
            .maximum = 600'000 });
    reader.addCheck([this]() -> std::string {
        if (backoffMinimum > backoffMaximum)
            return "kv.backoff_minimum_ms: exceeds kv.backoff_maximum_ms";
        return {};
    });
}

} // namespace marigold::settings
