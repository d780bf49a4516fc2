#pragma once

#include "relay_config.h"

#include <functional>
#include <map>
#include <string>

namespace marigold::relay {

/// What a target says of its weights.
struct target_report {
    std::map<std::string, int> weightVersions; ///< By model.
    bool busy = false; ///< An order is being carried out.
    std::uint64_t ordersAccepted = 0; ///< Since its start.
};

/// An order to load weights once the runs under way have ended.
struct weights_order {
    std::string model;
    int version = 0;
    std::string holder; ///< Process that gives the order.
    std::uint64_t token = 0; ///< Fencing token; a target may refuse an older one.
    std::uint64_t ordersBefore = 0; ///< The order holds only while the target has accepted this many.
};

enum class order_answer {
    Accepted, ///< The target carries it out.
    AlreadyHolds,
    Conflict, ///< Another order is under way, or one was accepted since the report.
    StaleToken, ///< A newer holder has given orders.
    OtherTarget, ///< Another target has the address.
    Invalid,
};

/// Returns the snake-case name of \a answer.
std::string_view nameOf(order_answer answer);

/// Port to the control interface of a target.
class target_control {
public:
    template <typename T> using callback = std::function<void(base::result<T>)>;

    virtual ~target_control() = default;
    virtual void report(const target_registration& target, callback<target_report> done) = 0;

    /// Sends \a order. An error with `MayHaveRun` may still be carried out, also much later.
    virtual void order(
        const target_registration& target, const weights_order& order, callback<order_answer> done)
        = 0;
};

} // namespace marigold::relay
