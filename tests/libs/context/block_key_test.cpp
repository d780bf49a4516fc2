#include <context/context.h>

#include <doctest/doctest.h>

#include <array>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

using namespace marigold;
using namespace marigold::context;

namespace {

using scope_values = std::array<std::string, 4>;

/// Generates secret, model, version and adapter from a small alphabet, so that the concatenations of
/// different fields are often equal.
scope_values arbitraryScope()
{
    const auto text = rc::gen::container<std::string>(rc::gen::element('a', 'b', '\0'));
    return { std::string(minimumSecretBytes, 's') + *text, *text, *text, *text };
}

block_scope scopeOf(const scope_values& values)
{
    return { .teamSecret = values[0], .model = values[1], .weightVersion = values[2], .adapter = values[3] };
}

} // namespace

TEST_CASE("scopes that differ in any field share no key")
{
    // Guards against a team, weight version, model or adapter that can address the blocks of another (I2,
    // I3), including secrets that HMAC pads to the same key and fields with equal concatenations.
    CHECK(rc::check("isolation", [] {
        const scope_values a = arbitraryScope();
        scope_values b = a;
        const int variant = *rc::gen::inRange(0, 3);
        const auto field = *rc::gen::inRange<std::size_t>(0, 4);
        if (variant == 0)
            b = arbitraryScope();
        else if (variant == 1)
            b[field] += *rc::gen::element('a', '\0');
        else if (field > 0)
            b[field] = a[field] + a[field % 3 + 1];
        RC_PRE(a != b);
        const std::string prompt = *rc::gen::container<std::string>(40, rc::gen::arbitrary<char>());
        const auto left = blockKeyChain(scopeOf(a), prompt, 8).value();
        const auto right = blockKeyChain(scopeOf(b), prompt, 8).value();
        std::set<block_key> keys(left.begin(), left.end());
        keys.insert(right.begin(), right.end());
        RC_ASSERT(keys.size() == left.size() + right.size());
    }));
}

TEST_CASE("block bytes cannot be mistaken for part of the scope or of the parent")
{
    // Guards against crafted prompt bytes that produce the HMAC input of another scope and block.
    CHECK(rc::check("field boundaries", [] {
        const std::string text
            = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::element('a', 'b')));
        const auto split = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        const auto other = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        RC_PRE(split != other);
        const std::string secret(minimumSecretBytes, 's');
        const auto keyAt = [&](std::size_t at) {
            const std::string_view view = text;
            return blockKey(
                { .teamSecret = secret, .model = "m", .weightVersion = "v", .adapter = view.substr(0, at) },
                {}, view.substr(at))
                .value();
        };
        RC_ASSERT(keyAt(split) != keyAt(other));
    }));
}

TEST_CASE("two chains share keys exactly for the common prefix of their prompts")
{
    // Guards against a key that does not depend on its entire prefix, and against keys for partial blocks.
    CHECK(rc::check("prefix", [] {
        const std::string secret(minimumSecretBytes, 's');
        const block_scope scope { .teamSecret = secret, .model = "m", .weightVersion = "v" };
        const auto blockBytes = *rc::gen::inRange<std::size_t>(1, 20);
        const std::string prompt
            = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        const auto changed = *rc::gen::inRange<std::size_t>(0, prompt.size());
        std::string other = prompt;
        other[changed] = static_cast<char>(other[changed] ^ 1);
        const auto left = blockKeyChain(scope, prompt, blockBytes).value();
        const auto right = blockKeyChain(scope, other, blockBytes).value();
        RC_ASSERT(left.size() == prompt.size() / blockBytes);
        RC_ASSERT(right.size() == left.size());
        block_key parent;
        for (std::size_t i = 0; i < left.size(); ++i) {
            RC_ASSERT((left[i] == right[i]) == ((i + 1) * blockBytes <= changed));
            parent = blockKey(scope, parent, std::string_view(prompt).substr(i * blockBytes, blockBytes))
                         .value();
            RC_ASSERT(parent == left[i]);
        }
    }));
}

TEST_CASE("a short secret or a block size of zero is rejected")
{
    // Guards against teams without a secret that share the keys of the empty secret.
    const block_scope scope { .teamSecret = "short", .model = "m", .weightVersion = "v" };
    CHECK(blockKeyChain(scope, "prompt", 2).error().field == "secret");
    CHECK(blockKey(scope, {}, "block").error().verdict == base::verdict::NotRun);
    const std::string secret(minimumSecretBytes, 's');
    CHECK(
        blockKeyChain({ .teamSecret = secret, .model = "m", .weightVersion = "v" }, "prompt", 0).error().field
        == "block_bytes");
}
