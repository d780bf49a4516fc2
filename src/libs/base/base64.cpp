#include "base64.h"

#include <openssl/evp.h>

namespace marigold::base {

std::string encodeBase64(std::string_view bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string out(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    // EVP_DecodeBlock counts the padding as zero bytes.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    out.resize(static_cast<std::size_t>(length) - padding);
    return out;
}

} // namespace marigold::base
