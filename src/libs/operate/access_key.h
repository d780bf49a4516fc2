#pragma once

#include "secure_random.h"

#include <base/base.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::operate {

/// Kind of the holder of a key. The kinds have different prefixes, so that a team key is never accepted as an
/// operator key.
enum class key_kind {
    Team, ///< mb_TEAM_SECRET
    Operator, ///< mbop_NAME_SECRET
};

/// A key presented by a caller. The secret has 64 hexadecimal digits and no '_', so that the name may contain
/// '_'.
struct presented_key {
    key_kind kind = key_kind::Team;
    std::string_view name;
    std::string_view secret;
};

/// Parses a key; empty for any other text. The views point into \a text.
std::optional<presented_key> parseKey(std::string_view text);

/// Returns the key of an `Authorization: Bearer KEY` header value; empty if it has a different form.
std::string_view bearerKey(std::string_view header);

/// Stored record of a key. A secret has 256 random bits, so a fast salted hash is sufficient: dictionary
/// attacks are not feasible.
struct key_record {
    std::string salt; ///< 32 hexadecimal digits.
    base::digest256 hash {}; ///< HMAC-SHA256 of the secret under the salt.
    std::optional<base::wall_time> expires = {}; ///< Empty: valid until it is removed.

    bool operator==(const key_record&) const = default;
};

/// Returns the hash of \a secret for a record with \a salt.
base::digest256 hashSecret(std::string_view salt, std::string_view secret);

/// Returns \a record as text for the configuration: "v1:SALT:HASH" or "v1:SALT:HASH:EXPIRES_US".
std::string encodeKeyRecord(const key_record& record);

/// Parses the text of `encodeKeyRecord`; `InvalidRequest` for any other text.
base::result<key_record> parseKeyRecord(std::string_view text);

/// A new key, which is displayed once and never stored.
struct issued_key {
    std::string key;
    key_record record;
};

/// Creates a key for \a name; `InvalidRequest` if the name is not 1 to 64 letters, digits, '.', '_' or '-'.
base::result<issued_key> issueKey(
    key_kind kind, std::string_view name, const random_bytes& random = systemRandomBytes);

/// Maximum number of records of one holder: the current key and the one that it replaces.
constexpr std::size_t recordsPerHolder = 2;

/// Returns the records after \a added replaces the current key: the latest earlier record that is still valid
/// expires no later than \a overlap after \a now, and older records are dropped.
std::vector<key_record> rotateKey(
    std::vector<key_record> records, key_record added, base::wall_time now, base::duration overlap);

} // namespace marigold::operate
