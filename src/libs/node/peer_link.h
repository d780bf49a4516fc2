#pragma once

#include "http_router.h"

#include <control/control.h>
#include <net/net.h>
#include <operate/operate.h>

#include <string>

namespace marigold::node {

/// Authenticated HTTP calls between the processes of the fleet.
class peer_link final : public control::config_peers {
public:
    struct options {
        std::string self; ///< Member id of this process, the audience of the messages that it receives.
        base::duration rpcTimeout = std::chrono::seconds(2);
    };

    peer_link(net::http_client& client, operate::message_auth& authenticator, options opts)
        : m_client(client)
        , m_authenticator(authenticator)
        , m_options(std::move(opts))
    {
    }

    /// Signs \a call for its receiver and sends it.
    net::call_id send(net::http_call call, net::http_client::callback done);

    void cancel(net::call_id id) { m_client.cancel(id); }

    /// Wraps \a handler so that it receives only authenticated requests.
    exchange_handler authenticated(exchange_handler handler);

    /// Calls JSON-RPC \a method of the process at \a address.
    void call(const std::string& address, std::string_view method, std::string_view argument,
        std::function<void(base::result<std::string>)> done);

    void pull(const std::string& address, std::uint64_t knownVersion, bool wantsFullDocument,
        std::function<void(base::result<control::pull_answer>)> done) override;

    /// Returns the reply to a `config.pull` request, taken from \a replica.
    static base::result<std::string> answerPull(
        const control::config_replica& replica, std::string_view argument);

    std::uint64_t configurationBytes() const { return m_configurationBytes; }

private:
    net::http_client& m_client;
    operate::message_auth& m_authenticator;
    options m_options;
    std::uint64_t m_configurationBytes = 0;
};

inline constexpr std::string_view rpcPath = "/peer/rpc";

} // namespace marigold::node
