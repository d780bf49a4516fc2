#include "context_scope.h"

#include <charconv>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

/// Precedes the digest of the isolated teams. No encoded name of a team contains it.
constexpr char digestMark = '!';

constexpr int hexadecimal = 16;

/// Returns \a name without the characters that have a meaning in a scope or cannot be sent in a header field.
std::string encodeName(std::string_view name)
{
    constexpr std::string_view reserved = "/%!";
    std::string encoded;
    for (const char c : name) {
        if (c > ' ' && c <= '~' && reserved.find(c) == std::string_view::npos)
            encoded += c;
        else
            encoded += fmt::format("%{:02x}", static_cast<unsigned char>(c));
    }
    return encoded;
}

/// Parses \a digits in \a base; returns an empty value unless they are a number as a whole.
template <typename Number> std::optional<Number> parseNumber(std::string_view digits, int base)
{
    Number value {};
    const char* end = digits.data() + digits.size();
    const auto [parsed, problem] = std::from_chars(digits.data(), end, value, base);
    if (problem != std::errc {} || parsed != end)
        return std::nullopt;
    return value;
}

std::optional<std::string> decodeName(std::string_view text)
{
    constexpr std::size_t digits = 2;
    std::string name;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            name += text[at];
            continue;
        }
        const auto value = parseNumber<unsigned char>(text.substr(at + 1, digits), hexadecimal);
        if (!value)
            return std::nullopt;
        name += static_cast<char>(*value);
        at += digits;
    }
    return name;
}

} // namespace

context_scope context_scope::of(
    const relay_config& config, const team* owner, std::string_view model, int weightVersion)
{
    context_scope scope { .model = std::string(model), .weightVersion = weightVersion };
    if (owner && (owner->isolated || config.isIsolated(owner->name)))
        scope.isolatedTeam = owner->name;
    else
        scope.isolationDigest = config.isolationDigest();
    return scope;
}

std::string context_scope::text() const
{
    const std::string head = fmt::format("{}/{}/", weightVersion, model);
    if (!isolatedTeam.empty())
        return head + encodeName(isolatedTeam);
    return isolationDigest == 0 ? head : fmt::format("{}{}{:016x}", head, digestMark, isolationDigest);
}

std::optional<context_scope> context_scope::parse(std::string_view text)
{
    const std::size_t first = text.find('/');
    const std::size_t last = text.rfind('/');
    if (first == std::string_view::npos || first == last)
        return std::nullopt;
    const auto version = parseNumber<int>(text.substr(0, first), 10);
    if (!version)
        return std::nullopt;
    context_scope scope { .model = std::string(text.substr(first + 1, last - first - 1)),
        .weightVersion = *version };
    const std::string_view sharing = text.substr(last + 1);
    if (sharing.starts_with(digestMark)) {
        const auto digest = parseNumber<std::uint64_t>(sharing.substr(1), hexadecimal);
        if (!digest)
            return std::nullopt;
        scope.isolationDigest = *digest;
        return scope;
    }
    const auto name = decodeName(sharing);
    if (!name)
        return std::nullopt;
    scope.isolatedTeam = *name;
    return scope;
}

} // namespace marigold::relay
