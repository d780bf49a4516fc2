#pragma once

#include <base/base.h>

#include <concepts>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

/// \file
/// Reads JSON and MessagePack documents of other writers. All functions throw `document_error` or an
/// exception of nlohmann/json, which is a `std::exception` as well, for a document that is not as expected.

namespace marigold::relay {

/// Error in the contents of a document.
struct document_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Deepest nesting that is accepted. nlohmann/json copies and prints values and reads MessagePack
/// recursively.
inline constexpr int maxDocumentDepth = 32;

/// Largest integer up to which a double represents each one.
inline constexpr std::int64_t maxExactInteger = (std::int64_t { 1 } << 53) - 1;

/// Largest version of weights that is accepted.
inline constexpr int maxWeightVersion = 1'000'000'000;

/// Parses the JSON document \a text.
nlohmann::json parseDocument(std::string_view text);

/// Returns the JSON document \a text with the replacement character instead of all that is no Unicode text:
/// bytes that are not UTF-8 (RFC 3629), and escapes of one half of a surrogate pair.
std::string withReplacedText(std::string_view text);

/// Parses the MessagePack document \a bytes.
nlohmann::json parseMessagePack(std::string_view bytes);

namespace detail {
void requireInteger(const nlohmann::json& value, std::int64_t min, std::uint64_t max);
}

/// Returns the integer \a value, which must be within \a min and \a max.
template <std::integral T> T integerOf(const nlohmann::json& value, T min, T max)
{
    detail::requireInteger(value, static_cast<std::int64_t>(min), static_cast<std::uint64_t>(max));
    return value.get<T>();
}

/// Returns the version of weights \a value.
inline int weightVersionOf(const nlohmann::json& value)
{
    return integerOf(value, 1, maxWeightVersion);
}

/// Returns the number \a value, which must be within \a min and \a max.
double numberOf(const nlohmann::json& value, double min, double max);

/// Returns the time \a value in milliseconds, which must be within zero and \a max.
base::duration millisecondsOf(const nlohmann::json& value, base::duration max = std::chrono::hours(24 * 365));

/// Returns the array \a value.
const nlohmann::json& arrayOf(const nlohmann::json& value);

} // namespace marigold::relay
