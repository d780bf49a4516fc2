#include "pace_exchange.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <vector>

namespace marigold::relay {

namespace {

/// A report is encoded as the high half of the target's hash, the pace and the age.
constexpr std::size_t hashBytes = 4;
constexpr std::size_t reportBytes = hashBytes + 2;
constexpr unsigned bitsPerByte = 8;
constexpr unsigned byteMask = 0xff;
constexpr unsigned hashShift = 32;

/// Time per unit of the encoded age.
constexpr base::duration ageUnit = std::chrono::milliseconds(4);

/// Paces are encoded by their logarithm: a byte ranges from 100/16 to 1,600 percent in steps of 2.2 %.
constexpr double stepsPerOctave = 32;
constexpr double usualStep = 128;
constexpr double usualPace = 100;

/// Credit is limited to this many reports, so that a quiet time is not followed by large digests.
constexpr double maxCreditReports = 8;

std::uint8_t stepOf(int pace)
{
    const double step = usualStep + stepsPerOctave * std::log2(pace / usualPace);
    return static_cast<std::uint8_t>(std::clamp(std::round(step), 0.0, static_cast<double>(byteMask)));
}

int paceOf(std::uint8_t step)
{
    return static_cast<int>(std::round(usualPace * std::exp2((step - usualStep) / stepsPerOctave)));
}

} // namespace

pace_exchange::pace_exchange(target_registry& targets, const base::clock& time, options opts)
    : m_targets(targets)
    , m_clock(time)
    , m_options(opts)
{
    m_targets.setPaceObserver([this](const target_record& target, int pace) {
        m_unsent[target.hash] = { .pace = pace, .at = m_clock.now() };
    });
}

digest_section pace_exchange::section()
{
    return { .id = digest_section_id::Pace,
        .write = [this] { return write(); },
        .read = [this](std::string_view, std::string_view bytes) { read(bytes); } };
}

std::string pace_exchange::write()
{
    const base::time_point now = m_clock.now();
    const double seconds = std::chrono::duration<double>(now - std::exchange(m_creditedAt, now)).count();
    const auto receivers = static_cast<double>(std::max<std::size_t>(m_receivers, 1));
    m_credit
        = std::min(m_credit + m_options.bytesPerSecond * seconds / receivers, maxCreditReports * reportBytes);
    std::erase_if(m_unsent, [&](const auto& entry) { return now - entry.second.at > m_options.maxAge; });
    if (m_unsent.empty() || m_credit < reportBytes)
        return {};
    std::vector<std::pair<base::time_point, std::uint64_t>> order;
    order.reserve(m_unsent.size());
    for (const auto& [hash, item] : m_unsent)
        order.emplace_back(item.at, hash);
    std::ranges::sort(order, std::greater<> {});
    std::string bytes;
    for (const auto& [at, hash] : order) {
        if (m_credit < reportBytes)
            break;
        m_credit -= reportBytes;
        for (std::size_t i = 0; i < hashBytes; ++i)
            bytes += static_cast<char>((hash >> (hashShift + bitsPerByte * i)) & byteMask);
        bytes += static_cast<char>(stepOf(m_unsent.at(hash).pace));
        bytes += static_cast<char>((now - at) / ageUnit); // At most `maxAge`, which fits.
        m_unsent.erase(hash);
    }
    return bytes;
}

void pace_exchange::read(std::string_view bytes)
{
    const base::time_point now = m_clock.now();
    for (; bytes.size() >= reportBytes; bytes.remove_prefix(reportBytes)) {
        const auto byteAt = [&](std::size_t i) { return static_cast<std::uint8_t>(bytes[i]); };
        std::uint32_t half = 0;
        for (std::size_t i = 0; i < hashBytes; ++i)
            half |= static_cast<std::uint32_t>(byteAt(i)) << (bitsPerByte * i);
        m_targets.paceReported(half, paceOf(byteAt(hashBytes)), now - byteAt(hashBytes + 1) * ageUnit);
    }
}

} // namespace marigold::relay
