#include "setting.h"

#include <algorithm>
#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace marigold::settings {

namespace {

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
        || c == '-';
}

bool isName(std::string_view text, std::size_t maximumBytes)
{
    return !text.empty() && text.size() <= maximumBytes
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isIpAddress(std::string_view text)
{
    const std::string nullTerminated(text);
    in6_addr parsed {};
    return nullTerminated.find('\0') == std::string::npos
        && (inet_pton(AF_INET, nullTerminated.c_str(), &parsed) == 1
            || inet_pton(AF_INET6, nullTerminated.c_str(), &parsed) == 1);
}

bool isEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, errorCode] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    constexpr unsigned highestPort = 65535;
    if (errorCode != std::errc() || end != digits.data() + digits.size() || port == 0 || port > highestPort)
        return false;
    std::string_view host = text.substr(0, colon);
    const bool hasBrackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (hasBrackets)
        host = host.substr(1, host.size() - 2);
    return hasBrackets == (host.find(':') != std::string_view::npos) && isIpAddress(host);
}

bool isHttpUrl(std::string_view text)
{
    for (const std::string_view scheme : { "http://", "https://" })
        if (text.starts_with(scheme))
            return isEndpoint(text.substr(scheme.size()));
    return false;
}

bool isMessageKey(std::string_view text)
{
    constexpr std::size_t maximumIdBytes = 16;
    constexpr std::size_t minimumKeySecretBytes = 32;
    constexpr std::size_t maximumKeySecretBytes = 128;
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || !isName(text.substr(0, colon), maximumIdBytes))
        return false;
    const std::size_t secretBytes = text.size() - colon - 1;
    return secretBytes >= minimumKeySecretBytes && secretBytes <= maximumKeySecretBytes;
}

} // namespace

std::string formatError(setting_format format, std::string_view text)
{
    constexpr std::size_t maximumNameBytes = 64;
    if (text.empty())
        return {};
    switch (format) {
    case setting_format::Any:
        return {};
    case setting_format::Name:
        return isName(text, maximumNameBytes)
            ? std::string()
            : fmt::format("\"{}\" is not a name (1 to 64 letters, digits, '.', '_' or '-')", text);
    case setting_format::IpAddress:
        return isIpAddress(text) ? std::string() : fmt::format("\"{}\" is not an IP address", text);
    case setting_format::Endpoint:
        return isEndpoint(text) ? std::string() : fmt::format("\"{}\" is not of the form IP:PORT", text);
    case setting_format::HttpUrl:
        return isHttpUrl(text)
            ? std::string()
            : fmt::format("\"{}\" is not of the form http://IP:PORT or https://IP:PORT", text);
    case setting_format::MessageKey:
        // The text is a secret, so the message does not repeat it.
        return isMessageKey(text)
            ? std::string()
            : "value is not of the form ID:SECRET (ID 1 to 16, SECRET 32 to 128 characters)";
    }
    return "unknown format";
}

} // namespace marigold::settings
