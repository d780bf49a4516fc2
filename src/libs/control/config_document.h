#pragma once

#include <base/base.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::control {

/// Limits that an operator set for a team; an absent limit does not apply.
struct team_limits {
    std::optional<double> requestsPerSecond = {};
    std::optional<double> tokensPerSecond = {};
    std::optional<std::uint64_t> concurrentRequests = {};
};

struct team {
    double weight = 1; ///< Relative share among the teams with waiting requests.
    double burst = 1; ///< Multiple of the share that may be used for a short time.
    std::vector<std::string>
        keyRecords; ///< Salted hashes of the API keys, `v1:SALT:HASH` or `v1:SALT:HASH:EXPIRES`.
    std::string blockSecret; ///< Key of the HMAC that names cached blocks. Never logged.
    team_limits limits;
};

/// How the continuation of a stream is chosen when its target is lost.
enum class model_policy {
    ShareRecomputed, ///< Minimizes the fraction of context that is recomputed.
    FirstToken, ///< Minimizes the time to first token.
};

/// Returns the name used in documents: `share_recomputed` or `first_token`.
std::string_view nameOf(model_policy policy);

struct adapter {
    std::string team; ///< The only team that may use it; empty for all.
};

struct model {
    std::string version; ///< Weight version in use before a swap.
    std::string wantedVersion; ///< Weight version that the targets are to serve.
    std::map<std::string, adapter, std::less<>> adapters;
    model_policy policy = model_policy::ShareRecomputed;
};

struct service {
    std::vector<std::string> idempotent; ///< Methods or paths that may be repeated.
    std::string model; ///< Model of the targets behind it; empty for a plain service.
};

struct failure_domain {
    bool inService = true;
};

enum class target_kind {
    Engine,
    Store,
    Service,
};

/// Returns the name used in documents: `engine`, `store` or `service`.
std::string_view nameOf(target_kind kind);

struct target {
    std::string address; ///< IP address and port of the agent.
    std::string failureDomain;
    std::string region;
    target_kind kind = target_kind::Engine;
    std::string model; ///< Set for engines only.
    std::string service; ///< Set for plain services only.
};

struct operator_account {
    std::vector<std::string> keyRecords; ///< As in `team::keyRecords`.
    bool mayRead = false;
    bool mayChange = false;
    bool mayUseDangerous = false; ///< Right `dangerous`.
};

struct weight_store {
    std::uint64_t concurrentLoads = 1; ///< Concurrent loads without slowdown.
};

template <typename T> using name_map = std::map<std::string, T, std::less<>>;

/// Typed content of a document.
struct config_content {
    name_map<team> teams;
    name_map<model> models;
    name_map<service> services;
    name_map<failure_domain> failureDomains;
    name_map<bool> drainedTargets;
    name_map<target> targets;
    name_map<operator_account> operators;
    name_map<weight_store> weightStores;
    double capacityFloor = 0.75; ///< Fraction of a model's targets that a rolling swap leaves in service.

    /// Returns true if the target \a id accepts new work: its failure domain is in service and it is not
    /// drained.
    bool isInService(const target& value, std::string_view id) const;
};

/// Documents above this size are refused: the key-value service accepts values of up to 1 MB, and a snapshot
/// also contains its version and digest.
inline constexpr std::size_t maxDocumentBytes = 990'000;

/// An immutable configuration document: its canonical JSON text, the digest of that text and a typed view.
/// Copies share their content.
class config_document {
public:
    /// The empty document, which is version 0 of every fleet.
    config_document();

    /// Parses \a text strictly: unknown and duplicate members, wrong types and values out of range are
    /// errors whose `field` is a JSON pointer to the offending value.
    static base::result<config_document> parse(std::string_view text);

    const config_content& content() const { return m_state->content; }

    /// Returns the canonical text: members sorted by name, without white space.
    const std::string& text() const { return m_state->text; }

    const base::digest256& digest() const { return m_state->digest; }

private:
    struct state {
        std::string text;
        base::digest256 digest {};
        config_content content;
    };

    explicit config_document(std::shared_ptr<const state> value)
        : m_state(std::move(value))
    {
    }

    std::shared_ptr<const state> m_state;
};

} // namespace marigold::control
