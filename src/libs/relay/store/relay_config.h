#pragma once

#include <base/base.h>
#include <net/http_types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::relay {

/// Kind of a request; determines whether it may be repeated.
enum class request_kind {
    Idempotent,
    NonIdempotent,
    Stream, ///< Answered with server-sent events; not idempotent unless the route is resumable.
};

/// Returns the snake-case name of \a kind.
std::string_view nameOf(request_kind kind);

/// Share of a route's requests that is sent to one service.
struct route_share {
    std::string service;
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::NonIdempotent;
    base::duration timeout = std::chrono::seconds(30); ///< Longest time that a request may take.
    /// Target time to the answer, or to the first event of a stream.
    base::duration latencyGoal = std::chrono::seconds(1);
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Number of targets that one request may be sent to.
    bool anonymous = false;
    bool resumable = false; ///< As configured; see `mayResume`.
    std::vector<route_share> shares = {};

    /// Returns whether a stream may go on at another target. The setting means nothing on a route of another
    /// kind, which has no streams: a non-idempotent request must not run again because of it.
    bool mayResume() const { return kind == request_kind::Stream && resumable; }

    bool mayRepeat() const { return kind == request_kind::Idempotent || mayResume(); }
};

/// Limits of a model engine as configured by the operator.
struct engine_limits {
    int slots = 1;
    std::int64_t contextTokens = 0; ///< Memory for running requests and cached parts together.
    double tokenBytes = 0; ///< Size of one token of KV cache.
    double linkMbps = 0;
    bool managedContext = false;
    std::vector<std::string> models = {};
};

/// A store of cached context.
struct context_store_info {
    net::endpoint address = {};
    std::string failureDomain = {};
    std::int64_t capacityTokens = 0;
    double linkMbps = 0;
    base::duration firstByteLatency { 0 }; ///< Fixed latency of each transfer.
    bool managed = false; ///< The store evicts nothing on its own.
    int maxConcurrentQueries = 0; ///< Event queries that the store serves concurrently; 0 if unknown.
};

struct service_info {
    std::string name;
    int maxConnections = 64; ///< For one target, over all callers.
    double coldRequestsPerSecond = 0; ///< Rate that a cold target can serve; 0 if there is no limit.
    std::optional<engine_limits> engine = {};
    std::optional<context_store_info> store = {};
};

struct team {
    std::string name;
    std::optional<int> priority = {}; ///< Overrides the priority of the route.
    bool isolated = false; ///< Does not share context with other teams.
    double weight = 1; ///< Of the team's share of the capacity when it is short; above 0.
};

/// Limits on the size and duration of a caller's requests.
struct caller_limits {
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    base::duration headerTimeout = std::chrono::seconds(3);
    base::duration idleTimeout = std::chrono::seconds(15);
};

struct target_registration;

/// One version of the operator's configuration; immutable.
class relay_config {
public:
    struct options {
        std::uint64_t version = 0;
        std::vector<route> routes = {};
        std::vector<service_info> services = {};
        std::vector<std::pair<std::string, team>> teamsByKey = {};
        std::vector<std::string> isolatedTeams = {}; ///< Names, also of teams without a key.
        bool hasTeams = false;
        caller_limits limits = {};
    };

    explicit relay_config(options opts);

    std::uint64_t version() const { return m_version; }
    const caller_limits& limits() const { return m_limits; }
    bool hasTeams() const { return m_hasTeams; }

    /// Returns the route of \a host with the longest prefix of \a path; null if there is none.
    const route* findRoute(std::string_view host, std::string_view path) const;
    const team* findTeam(std::string_view key) const;

    /// Returns whether the team \a name shares no context with others.
    bool isIsolated(std::string_view name) const { return m_isolatedTeams.contains(name); }

    /// Returns a digest of the names of the isolated teams, the same at all processes; 0 if there are none.
    std::uint64_t isolationDigest() const { return m_isolationDigest; }

    const service_info* findService(std::string_view name) const;
    const std::map<std::string, service_info, std::less<>>& services() const { return m_services; }

    /// Returns whether the service of \a target has a model engine and \a target states the weights of none
    /// of its models.
    bool lacksWeights(const target_registration& target) const;

private:
    std::uint64_t m_version;
    caller_limits m_limits;
    bool m_hasTeams;
    std::map<std::string, std::vector<route>, std::less<>> m_routesByHost; ///< Longest prefix first.
    std::map<std::string, service_info, std::less<>> m_services;
    std::map<std::string, team, std::less<>> m_teamsByKey;
    std::set<std::string, std::less<>> m_isolatedTeams;
    std::uint64_t m_isolationDigest = 0;
};

/// The registration of a target.
struct target_registration {
    std::string id;
    std::string service;
    net::endpoint address;
    std::string failureDomain;
    std::string softwareVersion = {};
    int slots = 1;
    bool draining = false;
    base::duration coldFor { 0 };
    std::uint64_t startedAtMs = 0; ///< Wall clock; identifies a restart under the same id. 0 if unknown.
    std::map<std::string, int> weightVersions = {}; ///< By model.

    bool operator==(const target_registration&) const = default;
};

} // namespace marigold::relay
