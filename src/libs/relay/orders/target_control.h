#pragma once

#include <relay/store/relay_config.h>
#include <relay/targets/target_notice.h>

#include <functional>
#include <map>
#include <string>

namespace marigold::relay {

/// State of the weights at a target.
struct target_report {
    std::map<std::string, int> weightVersions; ///< By model.
    bool busy = false; ///< An order is being carried out.
    std::uint64_t ordersAccepted = 0; ///< Number of accepted orders since the start of the target.
};

/// An order to load weights after the current runs have ended.
struct weights_order {
    std::string model;
    int version = 0;
    std::string holder; ///< Process that sends the order.
    std::uint64_t token = 0; ///< Fencing token; a target may reject an older one.
    /// The order is valid only while the target has accepted this many orders.
    std::uint64_t ordersBefore = 0;
};

enum class order_answer {
    Accepted, ///< The target carries out the order.
    AlreadyHolds,
    Conflict, ///< Another order is in progress, or one was accepted since the report.
    StaleToken, ///< A newer holder of the lease has sent orders.
    OtherTarget, ///< The address belongs to another target.
    Invalid,
};

/// Returns the snake-case name of \a answer.
std::string_view nameOf(order_answer answer);

/// Interface to the control endpoint of a target.
class target_control {
public:
    template <typename T> using callback = std::function<void(base::result<T>)>;

    /// Called before the result if the answer to a call says something about its target, whatever the result.
    using notice_handler = std::function<void(const target_notice&)>;

    virtual ~target_control() = default;
    virtual void report(
        const target_registration& target, notice_handler noticed, callback<target_report> done)
        = 0;

    /// Sends \a order. After an error with `MayHaveRun`, it may still be carried out, even much later.
    virtual void order(const target_registration& target, const weights_order& order, notice_handler noticed,
        callback<order_answer> done)
        = 0;
};

} // namespace marigold::relay
