#pragma once

#include "config_patch.h"

#include <platform/platform.h>

#include <functional>

namespace marigold::control {

/// A document as read from the key-value service.
struct loaded_config {
    config_state state;
    std::vector<config_patch> patches; ///< Patches applied to the snapshot, oldest first.
    std::uint64_t revision = 0; ///< Highest revision read; a watch continues from here.
};

enum class proposal_status {
    Accepted,
    Refused, ///< The change is not in the log and will not be added.
    Unknown, ///< The outcome has to be queried by change id, see `resolve`.
};

/// Returns the wire name of \a status: `accepted`, `refused` or `unknown`.
std::string_view nameOf(proposal_status status);

struct proposal_outcome {
    proposal_status status = proposal_status::Unknown;
    std::string changeId;
    std::uint64_t baseVersion = 0; ///< Version that the change is based on.
    std::uint64_t currentVersion = 0; ///< Highest known version; that of the change if accepted.
    std::optional<config_patch> accepted = {}; ///< Set when accepted.
    base::error problem = {}; ///< Set unless accepted.
};

/// Log of configuration changes in the key-value service (design page, 4.4).
///
/// A change is accepted by creating the key `config/patch/VERSION`, so that at most one change is accepted
/// per version. Keys are never deleted: otherwise, a proposer that was paused could create an old version
/// again. The object must outlive its pending calls.
class config_log {
public:
    struct options {
        base::duration retryDelay = std::chrono::milliseconds(200);
        int attempts = 5; ///< Writes and reads before an unconfirmed change is reported as `Unknown`.
        std::uint64_t versionsPerSnapshot = 64; ///< Versions between snapshots.
    };

    template <typename T> using callback = std::function<void(base::result<T>)>;
    using outcome_callback = std::function<void(proposal_outcome)>;

    config_log(platform::kv_store& store, base::scheduler& timers, const base::clock& time,
        const base::event_log& log, options opts);

    /// Returns a new id for a change based on \a baseVersion. The id contains the resulting version, so that
    /// any process can resolve it.
    static std::string makeChangeId(std::uint64_t baseVersion, base::random_source& random);

    /// Reads the snapshot and the patches after it.
    void load(callback<loaded_config> done);

    /// Reads the patches after \a from and applies them.
    void loadSince(config_state from, callback<loaded_config> done);

    /// Validates \a change against \a current and writes it. If another change was accepted first, the error
    /// names both versions.
    void propose(const config_state& current, config_change change, outcome_callback done);

    /// Determines the outcome of a change whose proposal ended as `Unknown`.
    void resolve(std::string changeId, outcome_callback done);

    /// Reads up to \a count accepted changes after version \a after, oldest first.
    void history(std::uint64_t after, std::size_t count, callback<std::vector<config_patch>> done);

    /// Reads the document of an earlier \a version by undoing the changes since then.
    void documentAt(const config_state& current, std::uint64_t version, callback<config_document> done);

    /// Determines the paths that differ between two versions.
    void diff(const config_state& current, std::uint64_t from, std::uint64_t to,
        callback<std::vector<std::string>> done);

    /// Proposes a new version whose document is that of the earlier \a version.
    void rollback(const config_state& current, std::uint64_t version, std::string changeId,
        std::string author, outcome_callback done);

private:
    struct proposal;

    void create(const std::shared_ptr<proposal>& pending);
    void readBack(const std::shared_ptr<proposal>& pending);
    void retry(const std::shared_ptr<proposal>& pending, bool write);
    void compareStored(const std::shared_ptr<proposal>& pending, const platform::kv_entry& found);
    void accept(const std::shared_ptr<proposal>& pending);
    void refuse(const std::shared_ptr<proposal>& pending, base::error problem) const;
    void writeSnapshot(const config_state& state);
    void continueLoad(const std::shared_ptr<loaded_config>& state, callback<loaded_config> done);

    platform::kv_store& m_store;
    base::scheduler& m_timers;
    const base::clock& m_clock;
    const base::event_log& m_log;
    options m_options;
    bool m_snapshotDue = false; ///< The last snapshot was not written.
};

} // namespace marigold::control
