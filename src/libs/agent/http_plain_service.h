#pragma once

#include "plain_caller.h"

#include <net/net.h>

#include <functional>
#include <string>

namespace marigold::agent {

/// Sends calls to the plain service over HTTP.
///
/// A reply that has neither a length nor chunks ends with its connection, which a service that ends closes as
/// well. It counts as complete only if the service is still there, and JSON only if it can be parsed:
/// otherwise a claim would keep a cut reply for each repeat of the call.
class http_plain_service final : public plain_service {
public:
    http_plain_service(net::http_client& client, net::event_loop& loop, net::endpoint service)
        : m_client(client)
        , m_loop(loop)
        , m_probe(loop)
        , m_service(std::move(service))
    {
    }

    void send(const protocol::call_request& call, const std::string& body,
        std::function<void(base::result<outcome::stored_answer>)> done) override;

private:
    void checkEnd(
        outcome::stored_answer reply, std::function<void(base::result<outcome::stored_answer>)> done);

    net::http_client& m_client;
    net::event_loop& m_loop;
    net::connection_probe m_probe;
    net::endpoint m_service;
};

} // namespace marigold::agent
