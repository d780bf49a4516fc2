#pragma once

#include "http_client.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marigold::net {

/// Server side of JSON-RPC 2.0 between processes of the fleet, based on libjsonrpccpp. The connectors of that
/// library use threads, so requests are passed in from the HTTP server instead.
///
/// Each method has one named parameter `argument` and returns one text; both are usually JSON.
class rpc_endpoint {
public:
    using method = std::function<base::result<std::string>(std::string_view argument)>;

    rpc_endpoint();
    ~rpc_endpoint();
    rpc_endpoint(const rpc_endpoint&) = delete;
    rpc_endpoint& operator=(const rpc_endpoint&) = delete;

    /// Adds a method called \a name.
    void add(const std::string& name, method function);

    /// Returns the response to \a request; never throws, even for malformed requests.
    std::string handle(const std::string& request);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Returns a JSON-RPC 2.0 request body.
std::string encodeRpcRequest(std::string_view method, std::string_view argument);

/// Returns the result in a JSON-RPC 2.0 response, or the error that it contains.
base::result<std::string> decodeRpcResponse(std::string_view body);

} // namespace marigold::net
