#pragma once

#include <relay/store/relay_config.h>

#include <base/base.h>

#include <map>
#include <string>

namespace marigold::relay {

/// What the targets have said about themselves in their answers to this process.
///
/// It holds for one incarnation of a target, whatever its registration says, and also while the registration
/// is missing: registrations lapse and come back although the target runs.
class target_standing {
public:
    struct options {
        /// Time after the last announcement or registration of an incarnation after which it is forgotten.
        /// Longer than any target takes to end and any registration to come back.
        base::duration memory = std::chrono::minutes(10);
        /// Limit of a pause. A target that recovers or loads weights takes far less, and a faulty one must
        /// not stay unused for a day; it is asked again then and can repeat its wish.
        base::duration longestPause = std::chrono::minutes(5);
    };

    target_standing(const base::clock& time, options opts);

    /// Records that \a target leaves. Returns false if that was known.
    bool announceLeaving(const target_registration& target);

    /// Returns true if the incarnation \a target has announced that it leaves.
    bool isLeaving(const target_registration& target) const;

    /// Records that \a target wants no requests for \a pause from now on. A pause that ends later stays in
    /// force, since each refusal holds by itself. Returns false if a pause was in force.
    bool requestPause(const target_registration& target, base::duration pause);

    /// Returns the end of the last pause that the incarnation \a target has asked for.
    base::time_point pausedUntil(const target_registration& target) const;

    /// Keeps what is known of \a target, since it is registered. Has no effect without a start time, which
    /// leaves it open whether the target is still the same incarnation.
    void confirmRegistered(const target_registration& target);

    /// Forgets incarnations that have ended. To be called periodically.
    void removeExpired();

    bool empty() const { return m_records.empty(); }

private:
    struct record {
        bool leaving = false;
        base::time_point pausedUntil {};
        base::time_point keptSince {};
    };

    static std::string keyOf(const target_registration& target);
    const record* find(const target_registration& target) const;
    record& recordFor(const target_registration& target);

    const base::clock& m_clock;
    options m_options;
    std::map<std::string, record, std::less<>> m_records; ///< By incarnation.
};

} // namespace marigold::relay
