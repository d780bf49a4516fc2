#include "paced_average.h"

#include <algorithm>
#include <cmath>

namespace marigold::relay {

namespace {

/// Weight of a new sample in the exponential moving averages.
constexpr double smoothingFactor = 0.1;

/// By how much the pace may predict worse than the plain average and is still used. Samples scatter by more
/// than this; a pace that is wrong by a factor of eight exceeds it with the first sample.
constexpr double errorMargin = 0.1;

/// Samples of one target that weigh as much as the average of its service. With this and the moving average
/// over about 20 samples, the scatter of single prompts no longer decides between targets.
constexpr int commonWeightSamples = 10;
constexpr int maxWeightSamples = 20;

} // namespace

double paced_average::atPace(double usual, double pace) const
{
    return m_quantity == quantity::Seconds ? usual * pace : usual / pace;
}

void paced_average::add(double sample, double pace)
{
    const double usualSample = atPace(sample, 1 / pace);
    const bool isFirst = m_plain == 0;
    if (!isFirst && sample > 0) {
        m_plainError += smoothingFactor * (std::abs(std::log(sample / m_plain)) - m_plainError);
        m_pacedError += smoothingFactor * (std::abs(std::log(usualSample / m_usual)) - m_pacedError);
    }
    m_samples = std::min(m_samples + 1, maxWeightSamples);
    const double weight = isFirst ? 1.0 : smoothingFactor;
    m_plain += weight * (sample - m_plain);
    m_usual += weight * (usualSample - m_usual);
}

double paced_average::weight() const
{
    return static_cast<double>(m_samples) / (m_samples + commonWeightSamples);
}

bool paced_average::isPaceTrue() const
{
    return m_pacedError <= m_plainError + errorMargin;
}

double paced_average::expected(double pace) const
{
    return isPaceTrue() ? atPace(m_usual, pace) : m_plain;
}

} // namespace marigold::relay
