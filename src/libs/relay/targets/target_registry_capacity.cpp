#include "target_registry.h"

#include <algorithm>

namespace marigold::relay {

namespace {

/// Weight of a new sample in the exponential moving average.
constexpr double smoothingFactor = 0.1;

} // namespace

base::duration target_registry::capacityTime(std::string_view service, const target_load& work) const
{
    const auto run = m_runSeconds.find(service);
    const double runSeconds = run == m_runSeconds.end() ? 0 : run->second;
    const service_info* info = m_config ? m_config->findService(service) : nullptr;
    if (!info || !info->engine)
        return base::duration(static_cast<std::int64_t>(runSeconds * 1e6));
    const auto memory = static_cast<double>(info->engine->contextTokens) * m_options.memoryShare;
    const double occupied = memory > 0 ? static_cast<double>(work.tokens) / memory * runSeconds : 0;
    return std::max(
        idlePrefillTime(service, work), base::duration(static_cast<std::int64_t>(occupied * 1e6)));
}

void target_registry::observeRun(const target_record& target, int outputTokens, base::duration time)
{
    if (outputTokens <= 0)
        return;
    const double seconds = std::chrono::duration<double>(time).count() / outputTokens;
    double& smoothed = m_secondsPerToken[target.registration.service];
    smoothed += (smoothed == 0 ? 1.0 : smoothingFactor) * (seconds - smoothed);
}

base::duration target_registry::expectedRun(std::string_view service, int outputTokens) const
{
    const auto known = m_secondsPerToken.find(service);
    const double seconds = known == m_secondsPerToken.end() ? 0 : known->second * outputTokens;
    return base::duration(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace marigold::relay
