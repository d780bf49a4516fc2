#pragma once

#include <cstdint>

namespace marigold::relay {

/// Moving average of a time or a speed, once as measured and once at the usual pace of the machine.
///
/// The second one times the present pace is the better estimate while the reported paces are true. The errors
/// of both are followed, so that a target whose reports predict nothing is judged by its times alone.
class paced_average {
public:
    enum class quantity : std::uint8_t { Seconds, PerSecond };

    explicit paced_average(quantity of)
        : m_quantity(of)
    {
    }

    /// Adds \a sample, which is positive, measured at \a pace, a multiple of the usual time.
    void add(double sample, double pace);

    /// Returns the expected value at \a pace; 0 without samples.
    double expected(double pace) const;

    /// Returns the weight of the average against that of a whole service: between 0 without samples and 2/3.
    double weight() const;

    /// Returns the average of the samples as measured; 0 without samples.
    double plain() const { return m_plain; }

private:
    double atPace(double usual, double pace) const;
    bool isPaceTrue() const;

    quantity m_quantity;
    int m_samples = 0; ///< At most those that count for the weight.
    double m_plain = 0;
    double m_usual = 0;
    double m_plainError = 0; ///< Smoothed deviation of samples from the average, as a logarithm.
    double m_pacedError = 0;
};

} // namespace marigold::relay
