#pragma once

#include "config_patch.h"

/// \file
/// Keys and snapshot format of the configuration log. Private to the library.

namespace marigold::control::detail {

inline constexpr std::string_view patchPrefix = "config/patch/";
inline constexpr std::string_view snapshotKey = "config/snapshot";

/// Returns the key of the patch that results in \a version; 20 digits let keys sort by version.
std::string patchKey(std::uint64_t version);

/// Returns the value of the snapshot key for \a state.
std::string encodeSnapshot(const config_state& state);

/// Parses a snapshot and checks its digest.
base::result<config_state> decodeSnapshot(std::string_view text);

/// Applies \a patch, which must be the next version, to \a state and checks the digest of the result.
base::result<config_state> applyNext(const config_state& state, const config_patch& patch);

/// Returns the version that \a changeId was proposed for; empty if the text is not a valid change id.
std::optional<std::uint64_t> versionOfChange(std::string_view changeId);

} // namespace marigold::control::detail
