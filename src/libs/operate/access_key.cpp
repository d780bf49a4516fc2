#include "access_key.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace marigold::operate {

namespace {

constexpr std::size_t secretBytes = 32;
constexpr std::size_t saltBytes = 16;
constexpr std::size_t maxNameLength = 64;
constexpr std::string_view teamPrefix = "mb_";
constexpr std::string_view operatorPrefix = "mbop_";

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
            || c == '_' || c == '-';
    });
}

bool isHex(std::string_view text, std::size_t bytes)
{
    return text.size() == 2 * bytes && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

std::string randomHex(const random_bytes& random, std::size_t bytes)
{
    std::vector<std::uint8_t> buffer(bytes);
    random(buffer);
    return base::toHex(buffer);
}

/// Returns the text before the next ':' and removes both from \a rest.
std::string_view takeField(std::string_view& rest)
{
    const std::string_view field = rest.substr(0, rest.find(':'));
    rest.remove_prefix(std::min(rest.size(), field.size() + 1));
    return field;
}

} // namespace

std::optional<presented_key> parseKey(std::string_view text)
{
    presented_key key;
    if (text.starts_with(operatorPrefix)) {
        key.kind = key_kind::Operator;
        text.remove_prefix(operatorPrefix.size());
    } else if (text.starts_with(teamPrefix)) {
        text.remove_prefix(teamPrefix.size());
    } else {
        return {};
    }
    const std::size_t separator = text.rfind('_');
    if (separator == std::string_view::npos)
        return {};
    key.name = text.substr(0, separator);
    key.secret = text.substr(separator + 1);
    if (!isName(key.name) || !isHex(key.secret, secretBytes))
        return {};
    return key;
}

std::string_view bearerKey(std::string_view header)
{
    constexpr std::string_view scheme = "Bearer ";
    return header.starts_with(scheme) ? header.substr(scheme.size()) : std::string_view();
}

base::digest256 hashSecret(std::string_view salt, std::string_view secret)
{
    return base::hmacSha256(salt, secret);
}

std::string encodeKeyRecord(const key_record& record)
{
    std::string text = "v1:" + record.salt + ":" + base::toHex(record.hash);
    if (record.expires)
        text += ":" + std::to_string(record.expires->time_since_epoch().count());
    return text;
}

base::result<key_record> parseKeyRecord(std::string_view text)
{
    const auto fault = [] {
        return base::notRun(base::error_reason::InvalidRequest, "key record is not of the form v1:SALT:HASH");
    };
    if (takeField(text) != "v1")
        return fault();
    key_record record;
    const std::string_view salt = takeField(text);
    const std::string_view hash = takeField(text);
    if (!isHex(salt, saltBytes) || !isHex(hash, record.hash.size()))
        return fault();
    record.salt = salt;
    for (std::size_t i = 0; i < record.hash.size(); ++i)
        std::from_chars(hash.data() + 2 * i, hash.data() + 2 * i + 2, record.hash[i], 16);
    if (text.empty())
        return record;
    std::int64_t expires = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), expires);
    if (error != std::errc() || end != text.data() + text.size() || expires < 0)
        return fault();
    record.expires = base::wall_time(base::duration(expires));
    return record;
}

base::result<issued_key> issueKey(key_kind kind, std::string_view name, const random_bytes& random)
{
    if (!isName(name))
        return base::notRun(base::error_reason::InvalidRequest,
            "name is not 1 to 64 letters, digits, '.', '_' or '-'", "name");
    const std::string secret = randomHex(random, secretBytes);
    issued_key issued;
    issued.key = kind == key_kind::Team ? teamPrefix : operatorPrefix;
    issued.key += name;
    issued.key += '_';
    issued.key += secret;
    issued.record.salt = randomHex(random, saltBytes);
    issued.record.hash = hashSecret(issued.record.salt, secret);
    return issued;
}

std::vector<key_record> rotateKey(
    std::vector<key_record> records, key_record added, base::wall_time now, base::duration overlap)
{
    std::vector<key_record> retained { std::move(added) };
    const base::wall_time end = now + overlap;
    for (auto& record : records) {
        if (retained.size() >= recordsPerHolder)
            break;
        if (record.expires && *record.expires <= now)
            continue;
        record.expires = record.expires ? std::min(*record.expires, end) : end;
        retained.push_back(std::move(record));
    }
    return retained;
}

} // namespace marigold::operate
