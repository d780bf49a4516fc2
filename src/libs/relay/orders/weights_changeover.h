#pragma once

#include <base/base.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Decides how the targets of a service change over to new weights while requests go on.
///
/// The load that it answers: a target that loads weights lets its runs end first, serves nothing meanwhile,
/// and has lost its cached context afterwards. If many targets do so at once, the others cannot serve a peak.
/// So the more time the operator allows, the fewer targets load at a time, and the later are old weights
/// given up. The next targets in order get no long runs before their order, so that their loading takes
/// little more than the load itself.
///
/// All processes compute the same order of the targets from their ids and versions, without messages.
class weights_changeover {
public:
    struct options {
        /// Time after new weights were named within which all requests must start on them.
        base::duration versionLimit = std::chrono::seconds(6);
        /// Part of that time for requests that wait at their target.
        base::duration startReserve = std::chrono::seconds(3);
        /// Share of the targets that have orders at a time if half of the time limit is usable. With a third
        /// of them, all have loaded in half of six seconds.
        double loadingShare = 0.34;
        /// Runs that are expected to last longer are not sent to a target that loads soon.
        base::duration longRun = std::chrono::milliseconds(250);
    };

    explicit weights_changeover(options opts);

    /// Returns the time after new weights were named in which requests may be sent to older ones, if \a limit
    /// is the time in which they may start on them.
    base::duration oldWeightsLimit(base::duration limit) const;

    /// Returns the share of a service's targets with new weights from which on only these are used.
    double switchShare() const { return m_usableShare; }

    /// Returns how many of \a targets targets may have orders at a time; at least one.
    std::size_t maxLoading(std::size_t targets) const;

    /// A target with older weights than wanted.
    struct outdated_target {
        std::uint64_t id = 0; ///< Hash of the target's id.
        int version = 0;
    };

    /// Sorts \a targets in the order in which they load \a wanted: the oldest weights first, since their time
    /// limit ends first if several versions were named.
    static void sort(std::span<outdated_target> targets, int wanted);

    /// Returns the targets of \a outdated, out of \a targets in all, that load soon.
    std::vector<std::uint64_t> loadingSoon(
        std::vector<outdated_target> outdated, std::size_t targets, int wanted) const;

    /// Returns whether the limit leaves time to change over gradually. If it does not, the order in which
    /// targets load follows their load alone, and no target is avoided before its order.
    bool isGradual() const { return m_usableShare > shortestUsableShare; }

    /// Returns true if a run that is expected to last \a time should go to a target that does not load soon.
    bool isLong(base::duration time) const { return time > m_options.longRun; }

private:
    static constexpr double shortestUsableShare = 0.5;

    static double usableShareOf(const options& opts);

    options m_options;
    double m_usableShare; ///< Share of the time limit in which old weights are used.
};

} // namespace marigold::relay
