#include "rpc_endpoint.h"

#include <map>

#include <jsonrpccpp/server.h>
#include <nlohmann/json.hpp>

namespace marigold::net {

namespace {

constexpr const char* argumentName = "argument";

/// Connector without a socket; requests come from `rpc_endpoint::handle`.
class loop_connector final : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string&, void*) override { return true; }
};

class method_server final : public jsonrpc::AbstractServer<method_server> {
public:
    explicit method_server(loop_connector& connector)
        : AbstractServer(connector)
    {
    }

    void add(const std::string& name, rpc_endpoint::method function)
    {
        m_methods[name] = std::move(function);
        bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING, argumentName,
                             jsonrpc::JSON_STRING, nullptr),
            &method_server::unused);
    }

    void HandleMethodCall(
        jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        const auto found = m_methods.find(procedure.GetProcedureName());
        if (found == m_methods.end())
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND);
        const auto outcome = found->second(input[argumentName].asString());
        if (!outcome)
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, outcome.error().message);
        output = *outcome;
    }

private:
    void unused(const Json::Value&, Json::Value&) { }

    std::map<std::string, rpc_endpoint::method, std::less<>> m_methods;
};

} // namespace

struct rpc_endpoint::private_data {
    loop_connector connector;
    method_server server { connector };
};

rpc_endpoint::rpc_endpoint()
    : d(std::make_unique<private_data>())
{
}

rpc_endpoint::~rpc_endpoint() = default;

void rpc_endpoint::add(const std::string& name, method function)
{
    d->server.add(name, std::move(function));
}

std::string rpc_endpoint::handle(const std::string& request)
{
    std::string response;
    try {
        d->connector.GetHandler()->HandleRequest(request, response);
    } catch (const std::exception&) {
        // The JSON parser of the library throws if the nesting is too deep.
        response = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"malformed request"}})";
    }
    return response;
}

std::string encodeRpcRequest(std::string_view method, std::string_view argument)
{
    return nlohmann::json {
        { "jsonrpc", "2.0" }, { "id", 1 }, { "method", method }, { "params", { { argumentName, argument } } }
    }.dump();
}

base::result<std::string> decodeRpcResponse(std::string_view body)
{
    const auto value = nlohmann::json::parse(body, nullptr, false);
    if (value.is_object() && value.contains("result") && value["result"].is_string())
        return value["result"].get<std::string>();
    std::string message = "the reply is not a JSON-RPC response";
    if (value.is_object() && value.contains("error") && value["error"].is_object())
        message = value["error"].value("message", message);
    return base::mayHaveRun(base::error_reason::Unavailable, std::move(message));
}

} // namespace marigold::net
