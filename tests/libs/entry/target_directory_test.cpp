#include <entry/target_directory.h>

#include <doctest/doctest.h>

#include <string>

using namespace marigold;

namespace {

node::node_settings settingsOf(const std::string& id)
{
    node::node_settings settings;
    settings.process.id = id;
    settings.process.failureDomain = "a";
    settings.process.region = "r";
    settings.process.logLevel = base::log_level::Error;
    settings.cluster.messageKey = "k:" + std::string(64, 'a');
    settings.kv.endpoint = "http://127.0.0.1:1";
    return settings;
}

control::config_content contentWith(bool inService)
{
    const std::string text
        = std::string(R"({"models":{"m":{"version":"v1"}},"failure_domains":{"a":{},"b":{"in_service":)")
        + (inService ? "true" : "false")
        + R"(}},"targets":{"t":{"address":"127.0.0.1:2","failure_domain":"a","region":"r","kind":"engine","model":"m"}}})";
    const auto document = control::config_document::parse(text);
    REQUIRE(document);
    return document->content();
}

} // namespace

TEST_CASE("a change of the configuration keeps the weight versions of the targets")
{
    // Guards against requests that find no target with their weight version after a change of the
    // configuration, such as a failure domain taken out of service.
    node::fleet_node node(
        { .settings = settingsOf("entry"), .kind = control::member_kind::Entry, .version = "test" });
    entry::target_directory directory(node);
    directory.configChanged(contentWith(true));
    const auto target = directory.find("t");
    REQUIRE(target != routing::noTarget);
    directory.recordLoad(target, protocol::agent_load { .bound = 2, .version = "v1" }.encode());
    CHECK(directory.table().info(target).version == "v1");
    directory.configChanged(contentWith(false));
    CHECK(directory.find("t") == target);
    CHECK(directory.table().info(target).version == "v1");
}
