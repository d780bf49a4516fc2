#pragma once

#include "config_document.h"

namespace marigold::control {

enum class patch_kind {
    JsonPatch, ///< RFC 6902
    MergePatch, ///< RFC 7396
};

/// Returns the name used in records: `json_patch` or `merge_patch`.
std::string_view nameOf(patch_kind kind);

/// A change requested by an operator, based on a numbered version.
struct config_change {
    std::uint64_t baseVersion = 0;
    std::string changeId; ///< From `config_log::makeChangeId`.
    std::string author;
    patch_kind kind = patch_kind::JsonPatch;
    std::string body; ///< JSON text of the patch.
};

/// A numbered version of the document.
struct config_state {
    std::uint64_t version = 0;
    config_document document;
};

/// One accepted change: the value of the key `config/patch/VERSION`.
struct config_patch {
    std::uint64_t version = 0; ///< Resulting version; the change is based on the version before it.
    std::string changeId;
    std::string author;
    base::wall_time time {};
    patch_kind kind = patch_kind::JsonPatch;
    std::string body;
    std::string inverse; ///< RFC 6902 patch that undoes the change, for rollback and history.
    base::digest256 digest {}; ///< Of the resulting document's canonical text.

    /// Returns the JSON text stored in the key-value service and sent between processes.
    std::string encode() const;

    /// Parses a stored text strictly.
    static base::result<config_patch> decode(std::string_view text);
};

/// Effect of a change on the document.
struct config_effect {
    config_document document; ///< The result.
    std::vector<std::string> changedPaths; ///< JSON pointers, sorted.
    std::string inverse; ///< RFC 6902 patch that undoes the change.
};

/// Applies a patch of \a kind to \a document. Errors name the operation and its path.
base::result<config_document> applyPatch(
    const config_document& document, patch_kind kind, std::string_view body);

/// Returns the RFC 6902 patch that transforms \a from into \a to.
std::string patchBetween(const config_document& from, const config_document& to);

/// Returns JSON pointers to the differences between two documents.
std::vector<std::string> changedPaths(const config_document& from, const config_document& to);

/// Applies \a change to \a current and validates the result, without storing it.
/// Fails with `Conflict`, naming both versions, if the change is based on another version.
base::result<config_effect> dryRun(const config_state& current, const config_change& change);

} // namespace marigold::control
