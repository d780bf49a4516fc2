#include "message_auth.h"

#include "events.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>

namespace marigold::operate {

namespace {

// Datagram: version (1), length of the key id (1), key id, time (8), nonce (8), signature (16), payload.
// Numbers are big-endian. The signature is truncated to 128 of 256 bits to keep the header small (RFC 2104,
// section 5).
constexpr char datagramVersion = 1;
constexpr std::size_t numberBytes = 8;
constexpr std::size_t signatureBytes = 16;
constexpr std::size_t maxKeyIdBytes = 16;
constexpr std::size_t minSecretBytes = 32;
constexpr std::size_t maxSecretBytes = 128;
constexpr std::size_t maxHeaderBytes = 256;

void appendNumber(std::string& out, std::uint64_t value)
{
    for (int shift = 56; shift >= 0; shift -= 8)
        out += static_cast<char>((value >> shift) & 0xff);
}

std::uint64_t readNumber(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char c : bytes.substr(0, numberBytes))
        value = (value << 8) | static_cast<std::uint8_t>(c);
    return value;
}

/// Returns the bytes to be signed. Each field is prefixed with its length, so that different lists of fields
/// yield different bytes.
std::string signedBytes(std::initializer_list<std::string_view> fields)
{
    std::string bytes;
    for (const std::string_view field : fields) {
        appendNumber(bytes, field.size());
        bytes += field;
    }
    return bytes;
}

std::span<const std::uint8_t> asBytes(std::string_view text)
{
    return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
}

/// Returns the text before the next space and removes both from \a rest.
std::string_view takeWord(std::string_view& rest)
{
    const std::string_view word = rest.substr(0, rest.find(' '));
    rest.remove_prefix(std::min(rest.size(), word.size() + 1));
    return word;
}

template <typename T> bool parseNumber(std::string_view text, T& value, int base)
{
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return fault == std::errc() && end == text.data() + text.size();
}

std::string hexNumber(std::uint64_t value)
{
    std::string bytes;
    appendNumber(bytes, value);
    return base::toHex(asBytes(bytes));
}

bool isKeyId(std::string_view text)
{
    return !text.empty() && text.size() <= maxKeyIdBytes && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
            || c == '_' || c == '-';
    });
}

} // namespace

base::result<message_key> parseMessageKey(std::string_view text)
{
    const std::size_t colon = text.find(':');
    const std::string_view id = text.substr(0, colon);
    const std::string_view secret
        = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    if (!isKeyId(id) || secret.size() < minSecretBytes || secret.size() > maxSecretBytes)
        return base::notRun(base::error_reason::InvalidRequest,
            "message key is not of the form ID:SECRET (ID 1 to 16, SECRET 32 to 128 characters)");
    return message_key { .id = std::string(id), .secret = std::string(secret) };
}

message_auth::message_auth(options opts, const base::clock& time, base::random_source& random)
    : m_options(std::move(opts))
    , m_clock(time)
    , m_random(random)
    // Messages sent before the start may have been accepted by an earlier process at this address.
    , m_replayFloor(time.wallNow().time_since_epoch().count() - 1)
    , m_refusals(m_options.log, events::messageRefused, time)
{
}

void message_auth::setKeys(message_key current, std::optional<message_key> previous)
{
    m_options.current = std::move(current);
    m_options.previous = std::move(previous);
}

std::string message_auth::signDatagram(std::string_view payload, std::string_view audience)
{
    const message_key& key = m_options.current;
    std::string datagram;
    datagram.reserve(2 + key.id.size() + 2 * numberBytes + signatureBytes + payload.size());
    datagram += datagramVersion;
    datagram += static_cast<char>(key.id.size());
    datagram += key.id;
    appendNumber(datagram, static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count()));
    appendNumber(datagram, m_random.next());
    const auto signature
        = base::hmacSha256(key.secret, signedBytes({ "datagram", audience, datagram, payload }));
    datagram.append(reinterpret_cast<const char*>(signature.data()), signatureBytes);
    datagram += payload;
    return datagram;
}

base::result<std::string_view> message_auth::verifyDatagram(
    std::string_view datagram, std::string_view audience)
{
    if (datagram.size() < 2 || datagram.size() > maxDatagramBytes || datagram[0] != datagramVersion)
        return refuse("malformed");
    const auto idBytes = static_cast<std::uint8_t>(datagram[1]);
    const std::size_t headerBytes = 2 + idBytes + 2 * numberBytes;
    if (idBytes > maxKeyIdBytes || datagram.size() < headerBytes + signatureBytes)
        return refuse("malformed");
    const stamp seen { .keyId = datagram.substr(2, idBytes),
        .time = static_cast<std::int64_t>(readNumber(datagram.substr(2 + idBytes))),
        .nonce = readNumber(datagram.substr(2 + idBytes + numberBytes)) };
    const message_key* key = keyOf(seen.keyId);
    if (!key)
        return refuse("unknown key id");
    const std::string_view payload = datagram.substr(headerBytes + signatureBytes);
    const auto expected = base::hmacSha256(
        key->secret, signedBytes({ "datagram", audience, datagram.substr(0, headerBytes), payload }));
    if (!base::equalConstantTime(
            std::span(expected).first(signatureBytes), asBytes(datagram.substr(headerBytes, signatureBytes))))
        return refuse("wrong signature");
    if (auto fresh = checkFresh(seen); !fresh)
        return tl::unexpected(fresh.error());
    return payload;
}

std::string message_auth::signHttp(
    std::string_view method, std::string_view path, std::string_view body, std::string_view audience)
{
    const message_key& key = m_options.current;
    std::string value = "v1 " + key.id + " " + std::to_string(m_clock.wallNow().time_since_epoch().count())
        + " " + hexNumber(m_random.next());
    const auto signature
        = base::hmacSha256(key.secret, signedBytes({ "http", audience, value, method, path, body }));
    value += " ";
    value += base::toHex(signature);
    return value;
}

base::result<void> message_auth::verifyHttp(std::string_view method, std::string_view path,
    std::string_view body, std::string_view audience, std::string_view header)
{
    if (header.size() > maxHeaderBytes)
        return refuse("malformed");
    const std::string_view signedPart = header.substr(0, header.rfind(' '));
    std::string_view rest = header;
    stamp seen;
    const std::string_view version = takeWord(rest);
    seen.keyId = takeWord(rest);
    const std::string_view time = takeWord(rest);
    const std::string_view nonce = takeWord(rest);
    if (version != "v1" || nonce.size() != 2 * numberBytes || !parseNumber(time, seen.time, 10)
        || !parseNumber(nonce, seen.nonce, 16))
        return refuse("malformed");
    const message_key* key = keyOf(seen.keyId);
    if (!key)
        return refuse("unknown key id");
    const std::string expected = base::toHex(
        base::hmacSha256(key->secret, signedBytes({ "http", audience, signedPart, method, path, body })));
    if (!base::equalConstantTime(asBytes(expected), asBytes(rest)))
        return refuse("wrong signature");
    return checkFresh(seen);
}

const message_key* message_auth::keyOf(std::string_view id) const
{
    if (id == m_options.current.id)
        return &m_options.current;
    if (m_options.previous && id == m_options.previous->id)
        return &*m_options.previous;
    return nullptr;
}

base::result<void> message_auth::checkFresh(const stamp& seen)
{
    const std::int64_t now = m_clock.wallNow().time_since_epoch().count();
    const std::int64_t window = m_options.window.count();
    if (seen.time < now - window || seen.time > now + window)
        return refuse("outside the time window");
    if (seen.time <= m_replayFloor)
        return refuse("older than the recorded messages");
    if (m_seen.contains({ seen.time, seen.nonce }))
        return refuse("replayed");
    recordAccepted(seen);
    return {};
}

void message_auth::recordAccepted(const stamp& seen)
{
    m_seen.emplace(seen.time, seen.nonce);
    const std::int64_t oldest = m_clock.wallNow().time_since_epoch().count() - m_options.window.count();
    // Each removed message raises the floor, so that a full record or a wall clock that is set back never
    // leads to accepting a message twice.
    while (!m_seen.empty()
        && (m_seen.begin()->first < oldest || m_seen.size() > m_options.maxAcceptedMessages)) {
        m_replayFloor = std::max(m_replayFloor, m_seen.begin()->first);
        m_seen.erase(m_seen.begin());
    }
}

tl::unexpected<base::error> message_auth::refuse(std::string_view detail)
{
    m_refusals.add(detail);
    return base::notRun(base::error_reason::Unauthorized, "message refused: " + std::string(detail));
}

} // namespace marigold::operate
