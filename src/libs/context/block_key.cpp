#include "block_key.h"

#include <fmt/format.h>

namespace marigold::context {

namespace {

// Domain separation from other HMAC values computed with a team's secret.
constexpr std::string_view inputLabel = "marigold block key 1";

void appendLength(std::string& out, std::uint64_t length)
{
    for (int shift = 56; shift >= 0; shift -= 8)
        out += static_cast<char>((length >> shift) & 0xff);
}

void appendField(std::string& out, std::string_view field)
{
    appendLength(out, field.size());
    out += field;
}

/// Returns the prefix of the HMAC input that is common to all blocks of a chain.
std::string scopeInput(const block_scope& scope)
{
    std::string input;
    appendField(input, inputLabel);
    appendLength(input, scope.teamSecret.size());
    appendField(input, scope.model);
    appendField(input, scope.weightVersion);
    appendField(input, scope.adapter);
    return input;
}

block_key keyOf(const block_scope& scope, std::string& input, const block_key& parent, std::string_view block)
{
    appendField(input, parent.view());
    appendField(input, block);
    return block_key(base::truncate(base::hmacSha256(scope.teamSecret, input)));
}

base::result<void> checkScope(const block_scope& scope)
{
    if (scope.teamSecret.size() < minimumSecretBytes)
        return base::notRun(base::error_reason::InvalidRequest,
            fmt::format("the team's secret is shorter than {} bytes", minimumSecretBytes), "secret");
    return {};
}

} // namespace

base::result<block_key> blockKey(const block_scope& scope, const block_key& parent, std::string_view block)
{
    if (auto valid = checkScope(scope); !valid)
        return tl::unexpected(valid.error());
    std::string input = scopeInput(scope);
    return keyOf(scope, input, parent, block);
}

base::result<std::vector<block_key>> blockKeyChain(
    const block_scope& scope, std::string_view prompt, std::size_t blockBytes)
{
    if (auto valid = checkScope(scope); !valid)
        return tl::unexpected(valid.error());
    if (blockBytes == 0)
        return base::notRun(
            base::error_reason::InvalidRequest, "the block size must not be zero", "block_bytes");
    std::vector<block_key> keys;
    keys.reserve(prompt.size() / blockBytes);
    std::string input = scopeInput(scope);
    const std::size_t scopeBytes = input.size();
    block_key parent;
    for (std::size_t offset = 0; prompt.size() - offset >= blockBytes; offset += blockBytes) {
        input.resize(scopeBytes);
        parent = keyOf(scope, input, parent, prompt.substr(offset, blockBytes));
        keys.push_back(parent);
    }
    return keys;
}

} // namespace marigold::context
