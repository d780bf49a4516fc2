#include "resume_token.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <fmt/format.h>

namespace marigold::outcome {

namespace {

constexpr std::size_t maxTargetLength = 256;
constexpr std::size_t maxTextLength = 512; // fixed fields take at most 133 characters, the target 256

std::string tagOf(std::string_view secret, std::string_view team, std::string_view payload)
{
    // The length prefix distinguishes (team, payload) pairs that would concatenate to the same text.
    const std::string signedText = fmt::format("resume_token:{}:{}:{}", team.size(), team, payload);
    return base::toHex(base::truncate(base::hmacSha256(secret, signedText)));
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool equalTextConstantTime(std::string_view a, std::string_view b)
{
    const auto bytes = [](std::string_view text) {
        return std::span(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    };
    return base::equalConstantTime(bytes(a), bytes(b));
}

std::string_view takeField(std::string_view& rest)
{
    const std::size_t end = std::min(rest.find(':'), rest.size());
    const std::string_view field = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return field;
}

template <typename T> std::optional<T> number(std::string_view text)
{
    T value {};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<resume_token> parsePayload(std::string_view payload)
{
    if (takeField(payload) != "1")
        return std::nullopt;
    const auto run = base::digest128FromHex(takeField(payload));
    const auto attempt = base::digest128FromHex(takeField(payload));
    const auto epoch = number<std::uint32_t>(takeField(payload));
    const auto sequence = number<std::uint64_t>(takeField(payload));
    if (!run || !attempt || !epoch || !sequence)
        return std::nullopt;
    return resume_token { .run = *run,
        .attempt = *attempt,
        .epoch = *epoch,
        .sequence = *sequence,
        .target = std::string(payload) };
}

} // namespace

std::string resume_token_codec::encode(const resume_token& token, std::string_view team) const
{
    if (m_secrets.empty() || token.target.size() > maxTargetLength || !isPrintable(token.target))
        return {};
    const std::string payload = fmt::format("1:{}:{}:{}:{}:{}", base::toHex(token.run),
        base::toHex(token.attempt), token.epoch, token.sequence, token.target);
    return payload + ":" + tagOf(m_secrets.front(), team, payload);
}

base::result<resume_token> resume_token_codec::decode(std::string_view text, std::string_view team) const
{
    base::error refusal { .verdict = base::verdict::MayHaveRun,
        .reason = base::error_reason::Forbidden,
        .message = "the resume token is not valid for this team",
        .field = "Last-Event-ID" };
    const std::size_t separator = text.rfind(':');
    if (text.size() > maxTextLength || separator == std::string_view::npos)
        return tl::unexpected(std::move(refusal));
    const std::string_view payload = text.substr(0, separator);
    const bool authentic = std::any_of(m_secrets.begin(), m_secrets.end(), [&](const std::string& secret) {
        return equalTextConstantTime(tagOf(secret, team, payload), text.substr(separator + 1));
    });
    const auto token = authentic ? parsePayload(payload) : std::nullopt;
    if (!token)
        return tl::unexpected(std::move(refusal));
    return *token;
}

} // namespace marigold::outcome
