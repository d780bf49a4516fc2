#include "clock_offsets.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <vector>

namespace marigold::diagnose {

namespace {

/// Maximum difference of the times at which processes receive a change; a larger median is a clock offset.
constexpr milliseconds maxPropagationDelay { 250 };

struct shared_change {
    std::string_view event;
    std::array<std::string_view, 2> fields; ///< Fields that identify the change.
};

constexpr std::array<shared_change, 4> sharedChanges { {
    { .event = "relay_config_in_force", .fields = { "version", "" } },
    { .event = "relay_weights_named", .fields = { "model", "version" } },
    { .event = "relay_target_changed", .fields = { "target", "change" } },
    { .event = "relay_domains_excluded", .fields = { "domains", "" } },
} };

/// Returns a key that identifies the change in \a record, or an empty text if it is not shared by processes.
std::string changeKey(const log_record& record)
{
    const auto found = std::ranges::find(sharedChanges, record.name, &shared_change::event);
    if (found == sharedChanges.end())
        return {};
    std::string key(found->event);
    for (const std::string_view field : found->fields)
        key.append("/").append(record.field(field));
    return key;
}

} // namespace

clock_offsets::clock_offsets(std::span<const log_record> records, std::string_view reference)
{
    std::map<std::string, std::map<std::string, milliseconds>> seenAt; // First time, by change and process.
    for (const log_record& record : records)
        if (std::string key = changeKey(record); !key.empty())
            seenAt[std::move(key)].emplace(record.process, record.time);
    std::map<std::string, std::vector<milliseconds>> differences;
    for (const auto& [key, times] : seenAt) {
        const auto own = times.find(std::string(reference));
        if (own == times.end())
            continue;
        for (const auto& [process, time] : times)
            differences[process].push_back(time - own->second);
    }
    for (auto& [process, values] : differences) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::ranges::nth_element(values, middle);
        if (std::chrono::abs(*middle) > maxPropagationDelay)
            m_offsets.emplace(process, *middle);
    }
}

milliseconds clock_offsets::offsetOf(std::string_view process) const
{
    const auto found = m_offsets.find(process);
    return found == m_offsets.end() ? milliseconds(0) : found->second;
}

} // namespace marigold::diagnose
