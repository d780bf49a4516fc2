#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace marigold::base {

/// Encodes \a bytes in base64 with padding (RFC 4648, section 4).
std::string encodeBase64(std::string_view bytes);

/// Decodes base64 with padding; empty for any other text.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace marigold::base
