#pragma once

#include <chrono>
#include <string>

namespace marigold::settings {

class settings_reader;

/// Settings for access to the platform's key-value service; section `kv`.
struct kv_settings {
    std::string endpoint = {}; ///< http://IP:PORT; required.
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds callTimeout { 2'000 };
    std::chrono::milliseconds watchDuration { 30'000 }; ///< Maximum time that a watch waits for a change.
    std::chrono::milliseconds backoffMinimum { 100 };
    std::chrono::milliseconds backoffMaximum { 10'000 };

    void registerSettings(settings_reader& reader);
};

} // namespace marigold::settings
