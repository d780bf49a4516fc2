#pragma once

#include <relay/admission/part_quarantine.h>

#include <base/base.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marigold::relay {

/// First byte of each datagram with quarantine records; distinguishes it from other datagrams of the relays.
inline constexpr char quarantineDigestKind = 'Q';

/// Parts that a record names at the most; one with more is refused by the other processes.
inline constexpr std::size_t maxRecordParts = 1024;

/// What one process tells the others about parts that end targets.
using quarantine_record = std::variant<target_end, blocked_part, sound_part, trial_start>;

struct numbered_record {
    /// Increases with each record of a process; 0 for a record that may be repeated.
    std::uint64_t sequence = 0;
    quarantine_record record;
};

/// Records of one process, as sent in one datagram or kept in one entry of the platform's store.
struct quarantine_batch {
    std::string process; ///< The process that made the records; unique for each start.
    std::vector<numbered_record> records = {};
};

/// Returns how many names of parts \a record has.
std::size_t partsIn(const quarantine_record& record);

/// Encodes \a batch as text for the platform's store.
std::string encodeText(const quarantine_batch& batch);

/// Encodes \a batch as MessagePack after the kind byte.
std::string encodeDatagram(const quarantine_batch& batch);

/// Decodes the output of `encodeText`; returns `InvalidRequest` for any other text.
base::result<quarantine_batch> decodeQuarantineText(std::string_view text);

/// Decodes the output of `encodeDatagram`; returns `InvalidRequest` for any other bytes.
base::result<quarantine_batch> decodeQuarantineDatagram(std::string_view bytes);

/// Decodes the block of an operator, `{"part": NAME}`; returns `InvalidRequest` for any other text.
base::result<blocked_part> decodeOperatorBlock(std::string_view text);

} // namespace marigold::relay
