#include "json_document.h"

#include <cmath>

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
