#pragma once

#include <control/control.h>

#include <string>

namespace marigold::testing {

/// A document with two domains, four engines of one model, a store, a plain service and two teams.
inline control::config_document sampleDocument()
{
    const std::string hash(64, 'a');
    std::string targets;
    for (int i = 0; i < 4; ++i)
        targets += R"("t)" + std::to_string(i) + R"(":{"address":"10.0.0.)" + std::to_string(i)
            + R"(:7400","failure_domain":"hall-)" + (i % 2 ? "alta" : "bodo")
            + R"(","region":"nord","kind":"engine","model":"m"},)";
    const std::string text = R"({"teams":{"big":{"key_hashes":[")" + hash
        + R"("],"block_secret":"s1","weight":3,"limits":{"requests_per_second":50}},)"
        + R"("small":{"key_hashes":[],"block_secret":"s2"}},)"
        + R"("models":{"m":{"version":"v1","adapters":{"a":{"team":"big"}}}},)"
        + R"("services":{"orders":{"idempotent":["status"]}},)"
        + R"("failure_domains":{"hall-bodo":{},"hall-alta":{"in_service":true}},)" + R"("targets":{)"
        + targets
        + R"("s0":{"address":"10.0.1.0:7400","failure_domain":"hall-bodo","region":"nord","kind":"store"},)"
        + R"("p0":{"address":"10.0.2.0:7400","failure_domain":"hall-bodo","region":"nord","kind":"service",)"
        + R"("service":"orders"}},)" + R"("operators":{"op":{"key_hash":")" + hash
        + R"(","rights":["read","change"]}},)"
        + R"("weight_stores":{"w":{"concurrent_loads":3}},"capacity_floor":0.5})";
    auto parsed = control::config_document::parse(text);
    return parsed.value();
}

} // namespace marigold::testing
