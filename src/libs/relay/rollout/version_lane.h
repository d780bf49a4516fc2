#pragma once

#include <optional>
#include <string_view>

namespace marigold::relay {

/// Use of a software version of a service.
enum class version_lane {
    Usual, ///< Serves the requests that no roll-out takes; all versions if there has been no roll-out.
    Candidate, ///< The version that a running roll-out moves the service to.
    Barred, ///< Gets no requests: rolled back, replaced, or not named by a roll-out.
};

/// Versions that one request may be sent to, in order of preference.
struct lane_choice {
    version_lane first = version_lane::Usual;
    /// Used if no target of the first has capacity.
    std::optional<version_lane> second = {};
};

/// Interface to the use of the versions of each service.
class version_policy {
public:
    virtual ~version_policy() = default;

    virtual version_lane laneOf(std::string_view service, std::string_view version) const = 0;

    /// Returns the versions for the next request of \a service; \a isRepeated if it was sent before.
    virtual lane_choice lanesFor(std::string_view service, bool isRepeated) = 0;

    /// Returns whether \a service has targets of two versions by order of an operator.
    virtual bool isShifting(std::string_view service) const = 0;
};

} // namespace marigold::relay
