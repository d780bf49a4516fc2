#include <net/net.h>

#include <doctest/doctest.h>

#include <string>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::net;

TEST_CASE("a JSON-RPC call returns the result or the error of the method")
{
    // Guards against a failed method whose response looks like a result.
    rpc_endpoint endpoint;
    endpoint.add(
        "echo", [](std::string_view argument) -> base::result<std::string> { return std::string(argument); });
    endpoint.add("fail", [](std::string_view) -> base::result<std::string> {
        return base::notRun(base::error_reason::NotFound, "no such thing");
    });
    CHECK(decodeRpcResponse(endpoint.handle(encodeRpcRequest("echo", R"({"a":1})"))) == R"({"a":1})");
    const auto failed = decodeRpcResponse(endpoint.handle(encodeRpcRequest("fail", "")));
    REQUIRE(!failed);
    CHECK(failed.error().message.find("no such thing") != std::string::npos);
    CHECK(!decodeRpcResponse(endpoint.handle(encodeRpcRequest("unknown", ""))));
}

TEST_CASE("malformed JSON-RPC requests are rejected with an error")
{
    // Guards against a process that crashes on malformed input.
    rpc_endpoint endpoint;
    CHECK(rc::check("random bytes",
        [&](const std::string& bytes) { RC_ASSERT(!decodeRpcResponse(endpoint.handle(bytes))); }));
    CHECK(!decodeRpcResponse(endpoint.handle(std::string(100000, '['))));
}
