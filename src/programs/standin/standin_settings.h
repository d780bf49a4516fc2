#pragma once

#include <settings/settings.h>

#include <cstdint>
#include <string>

namespace marigold {

/// System that the process simulates.
enum class standin_role {
    KeyValue,
    Engine,
    Weights,
    VmList,
    Service,
};

/// Settings of a stand-in: sections `standin`, `kv_service`, `engine`, `weights`, `vm_list` and `service`.
struct standin_settings {
    standin_role role = standin_role::KeyValue;
    std::string listenAddress = "127.0.0.1";
    std::uint16_t listenPort = 0;
    std::uint64_t seed = 1;

    std::int32_t readsPerSecond = 2000;
    std::int32_t writesPerSecond = 500;
    base::duration answerTime = std::chrono::milliseconds(2);

    std::string model = "default";
    std::string version = "v1";
    std::int32_t slots = 8;
    double prefillBytesPerSecond = 400'000;
    base::duration tokenTime = std::chrono::milliseconds(10);
    std::int32_t cacheBlocks = 64;
    std::int32_t blockBytes = 4096;
    std::int32_t contentBytes = 16384;
    bool checksFencing = true;
    std::int32_t warmUpTokens = 200;
    std::int32_t coldBound = 2;
    double eventGapProbability = 0.02;
    std::string weightStore = {};

    std::int32_t loadBound = 3;
    base::duration loadTime = std::chrono::milliseconds(333);
    base::duration lag = std::chrono::seconds(5);
    base::duration serviceTime = std::chrono::milliseconds(5);

    void registerSettings(settings::settings_reader& reader);
};

} // namespace marigold
