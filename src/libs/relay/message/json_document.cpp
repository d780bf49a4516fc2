#include "json_document.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include <fmt/format.h>

namespace marigold::relay {

namespace {

using nlohmann::json;

[[noreturn]] void failDepth()
{
    throw document_error(fmt::format("nested more than {} levels deep", maxDocumentDepth));
}

void checkTextDepth(std::string_view text)
{
    int depth = 0;
    bool isString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                isString = false;
        } else if (c == '"') {
            isString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxDocumentDepth)
                failDepth();
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
}

/// Ends the parsing of a document at the deepest nesting that is accepted.
class depth_check final : public json::json_sax_t {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    // Other errors are reported when the document is parsed.
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
    {
        return false;
    }

    bool isExceeded() const { return m_depth > maxDocumentDepth; }

private:
    bool enter() { return ++m_depth <= maxDocumentDepth; }
    bool leave()
    {
        --m_depth;
        return true;
    }

    int m_depth = 0;
};

/// Returns the number of bytes of the UTF-8 character that \a text begins with; 0 if it begins with none.
std::size_t characterSize(std::string_view text)
{
    struct row {
        unsigned char first, last; ///< Of the first byte.
        std::size_t size;
        unsigned char minSecond, maxSecond; ///< Exclude surrogates and encodings that are too long.
    };
    constexpr std::array<row, 9> rows { { { 0x00, 0x7f, 1, 0, 0 }, { 0xc2, 0xdf, 2, 0x80, 0xbf },
        { 0xe0, 0xe0, 3, 0xa0, 0xbf }, { 0xe1, 0xec, 3, 0x80, 0xbf }, { 0xed, 0xed, 3, 0x80, 0x9f },
        { 0xee, 0xef, 3, 0x80, 0xbf }, { 0xf0, 0xf0, 4, 0x90, 0xbf }, { 0xf1, 0xf3, 4, 0x80, 0xbf },
        { 0xf4, 0xf4, 4, 0x80, 0x8f } } };
    const auto byte = [text](std::size_t at) { return static_cast<unsigned char>(text[at]); };
    const auto found = std::ranges::find_if(
        rows, [&](const row& item) { return byte(0) >= item.first && byte(0) <= item.last; });
    if (found == rows.end() || text.size() < found->size)
        return 0;
    if (found->size > 1 && (byte(1) < found->minSecond || byte(1) > found->maxSecond))
        return 0;
    for (std::size_t i = 2; i < found->size; ++i)
        if (byte(i) < 0x80 || byte(i) > 0xbf)
            return 0;
    return found->size;
}

constexpr std::size_t escapeSize = 6; ///< Of `\\uXXXX`.

/// Returns the code unit of the escape that \a text begins with.
std::optional<unsigned> escapedUnit(std::string_view text)
{
    if (text.size() < escapeSize || !text.starts_with("\\u"))
        return std::nullopt;
    unsigned unit = 0;
    constexpr int hexadecimal = 16;
    const char* end = text.data() + escapeSize;
    if (std::from_chars(text.data() + 2, end, unit, hexadecimal).ptr != end)
        return std::nullopt;
    return unit;
}

bool isHighSurrogate(unsigned unit)
{
    return unit >= 0xd800 && unit <= 0xdbff;
}

bool isLowSurrogate(unsigned unit)
{
    return unit >= 0xdc00 && unit <= 0xdfff;
}

document_error rangeError(const json& value)
{
    return document_error(value.is_number() ? fmt::format("{} is out of range", value.dump())
                                            : fmt::format("expected a number, found {}", value.type_name()));
}

} // namespace

json parseDocument(std::string_view text)
{
    checkTextDepth(text);
    return json::parse(text);
}

std::string withReplacedText(std::string_view text)
{
    constexpr std::string_view replacement = "\xef\xbf\xbd";
    std::string out;
    while (!text.empty()) {
        std::size_t size = characterSize(text);
        bool isText = size > 0;
        if (const auto unit = escapedUnit(text)) {
            const auto next = escapedUnit(text.substr(escapeSize));
            const bool isPair = isHighSurrogate(*unit) && next && isLowSurrogate(*next);
            isText = isPair || (!isHighSurrogate(*unit) && !isLowSurrogate(*unit));
            size = isPair ? 2 * escapeSize : escapeSize;
        } else if (text.starts_with('\\') && text.size() > 1 && characterSize(text.substr(1)) == 1) {
            size = 2;
        }
        out += isText ? text.substr(0, size) : replacement;
        text.remove_prefix(std::max<std::size_t>(size, 1));
    }
    return out;
}

json parseMessagePack(std::string_view bytes)
{
    depth_check check;
    json::sax_parse(bytes, &check, json::input_format_t::msgpack);
    if (check.isExceeded())
        failDepth();
    return json::from_msgpack(bytes);
}

void detail::requireInteger(const json& value, std::int64_t min, std::uint64_t max)
{
    bool isValid = false;
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        isValid = number <= max && (min <= 0 || number >= static_cast<std::uint64_t>(min));
    } else if (value.is_number_integer()) {
        const auto number = value.get<std::int64_t>();
        isValid = number >= min && (number < 0 || static_cast<std::uint64_t>(number) <= max);
    } else if (value.is_number_float()) {
        const auto number = value.get<double>();
        isValid = std::trunc(number) == number && std::abs(number) <= static_cast<double>(maxExactInteger)
            && number >= static_cast<double>(min) && number <= static_cast<double>(max);
    }
    if (!isValid)
        throw rangeError(value);
}

double numberOf(const json& value, double min, double max)
{
    const double number = value.is_number() ? value.get<double>() : std::nan("");
    if (!(number >= min && number <= max)) // Not a number is out of range, too.
        throw rangeError(value);
    return number;
}

base::duration millisecondsOf(const json& value, base::duration max)
{
    constexpr double microsecondsPerMillisecond = 1000;
    const double limit = static_cast<double>(max.count()) / microsecondsPerMillisecond;
    return base::duration(std::llround(numberOf(value, 0, limit) * microsecondsPerMillisecond));
}

const json& arrayOf(const json& value)
{
    if (!value.is_array())
        throw document_error(fmt::format("expected an array, found {}", value.type_name()));
    return value;
}

} // namespace marigold::relay
