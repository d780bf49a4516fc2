#include "memory_settings.h"

#include <algorithm>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

#include <fmt/format.h>

namespace marigold::settings {

namespace {

constexpr double bytesPerMegabyte = 1 << 20;

/// Limits of the platform are accepted in any size that a number can have.
constexpr double maxValue = 1e9;

/// Without a setting, no more descriptors than this are asked for: tables of the system grow with them.
constexpr std::size_t maxDefaultDescriptors = 65'536;

/// Budget that is derived at least: with less, the process could not serve one large request.
constexpr std::size_t minBudget = 8 << 20;

/// Sockets that a process needs for itself and a few callers.
constexpr std::size_t minSockets = 32;

double physicalMb()
{
    return static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGESIZE))
        / bytesPerMegabyte;
}

/// Returns the memory of this process.
std::size_t residentBytes()
{
    std::size_t total = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

void memory_settings::registerSettings(settings_reader& reader)
{
    reader.add("memory.machine_mb", &machineMb,
        { .description = "Memory of the machine; as the system reports it if 0.",
            .unit = "MB",
            .minimum = 0,
            .maximum = maxValue });
    reader.add("memory.budget_mb", &budgetMb,
        { .description = "Memory that the process may hold for callers and targets; half of what the program "
                         "leaves of the machine's memory if 0.",
            .unit = "MB",
            .minimum = 0,
            .maximum = maxValue });
    reader.add("memory.descriptors", &descriptors,
        { .description = "Descriptors that the process may have open; the limit of the system if 0.",
            .minimum = 0,
            .maximum = maxValue });
    reader.add("memory.reserved_descriptors", &reservedDescriptors,
        { .description = "Descriptors that are not used for connections.",
            .minimum = 0,
            .maximum = maxValue });
    reader.add("memory.stall_ms", &stallTime,
        { .description
            = "Time without progress after which a connection may be closed while memory is short.",
            .minimum = 50,
            .maximum = 3'600'000 });
    reader.addCheck([this]() -> std::string {
        const double machine = static_cast<double>(machineBytes()) / bytesPerMegabyte;
        if (budgetMb > machine)
            return fmt::format(
                "memory.budget_mb: {} MB exceed the memory of this machine, {:.0f} MB", budgetMb, machine);
        return {};
    });
}

std::size_t memory_settings::machineBytes() const
{
    // The platform states the figure: one that is too large must not keep the process from starting.
    const double physical = physicalMb();
    return static_cast<std::size_t>(
        (machineMb > 0 ? std::min(machineMb, physical) : physical) * bytesPerMegabyte);
}

std::size_t memory_settings::budgetBytes() const
{
    return budgetMb > 0
        ? static_cast<std::size_t>(budgetMb * bytesPerMegabyte)
        : std::max((machineBytes() - std::min(machineBytes(), residentBytes())) / 2, minBudget);
}

std::size_t memory_settings::openableDescriptors() const
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return static_cast<std::size_t>(descriptors);
    const std::size_t wanted = descriptors > 0
        ? static_cast<std::size_t>(descriptors)
        : std::max<std::size_t>(limit.rlim_cur, std::min<std::size_t>(limit.rlim_max, maxDefaultDescriptors));
    if (wanted > limit.rlim_cur) {
        limit.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
        setrlimit(RLIMIT_NOFILE, &limit);
        getrlimit(RLIMIT_NOFILE, &limit);
    }
    return std::min<std::size_t>(wanted, limit.rlim_cur);
}

std::size_t memory_settings::sockets(std::size_t descriptors) const
{
    const auto reserved = static_cast<std::size_t>(reservedDescriptors);
    return std::max(descriptors - std::min(descriptors, reserved), minSockets);
}

} // namespace marigold::settings
