#include "config_log.h"
#include "config_record.h"

#include <algorithm>

#include <fmt/format.h>

/// \file
/// Access to earlier versions in `config_log`: documents, differences and rollback.

namespace marigold::control {

namespace {

using base::error_reason;

base::error noSuchVersion(std::uint64_t version, std::uint64_t current)
{
    return base::notRun(error_reason::NotFound,
        fmt::format("there is no version {}; the current version is {}", version, current), "version")
        .value();
}

/// Returns \a document with \a patches undone, newest first.
base::result<config_document> undo(config_document document, const std::vector<config_patch>& patches)
{
    for (auto patch = patches.rbegin(); patch != patches.rend(); ++patch) {
        if (document.digest() != patch->digest)
            return base::notRun(error_reason::Internal,
                fmt::format("the digest of version {} does not match", patch->version));
        auto earlier = applyPatch(document, patch_kind::JsonPatch, patch->inverse);
        if (!earlier)
            return earlier;
        document = std::move(*earlier);
    }
    return document;
}

} // namespace

void config_log::documentAt(
    const config_state& current, std::uint64_t version, callback<config_document> done)
{
    if (version > current.version)
        return done(tl::unexpected(noSuchVersion(version, current.version)));
    if (version == current.version)
        return done(current.document);
    // Undoes the changes page by page, newest first.
    constexpr std::uint64_t versionsPerPage = 128;
    const std::uint64_t from
        = std::max(version, current.version > versionsPerPage ? current.version - versionsPerPage : 0);
    const auto count = static_cast<std::size_t>(current.version - from);
    history(from, count, [this, current, version, from, count, done = std::move(done)](auto answer) {
        if (!answer)
            return done(tl::unexpected(answer.error()));
        if (answer->size() != count || answer->back().version != current.version)
            return done(base::notRun(error_reason::Internal, "the configuration log lacks a version"));
        auto document = undo(current.document, *answer);
        if (!document)
            return done(tl::unexpected(document.error()));
        documentAt({ .version = from, .document = std::move(*document) }, version, done);
    });
}

void config_log::diff(const config_state& current, std::uint64_t from, std::uint64_t to,
    callback<std::vector<std::string>> done)
{
    documentAt(current, from, [this, current, to, done = std::move(done)](auto fromDocument) {
        if (!fromDocument)
            return done(tl::unexpected(fromDocument.error()));
        documentAt(current, to, [fromDocument = std::move(*fromDocument), done](auto toDocument) {
            if (!toDocument)
                return done(tl::unexpected(toDocument.error()));
            done(changedPaths(fromDocument, *toDocument));
        });
    });
}

void config_log::rollback(const config_state& current, std::uint64_t version, std::string changeId,
    std::string author, outcome_callback done)
{
    config_change change { .baseVersion = current.version,
        .changeId = std::move(changeId),
        .author = std::move(author),
        .kind = patch_kind::JsonPatch,
        .body = {} };
    documentAt(current, version,
        [this, current, change = std::move(change), done = std::move(done)](auto document) mutable {
            if (!document)
                return done({ .status = proposal_status::Refused,
                    .changeId = change.changeId,
                    .baseVersion = current.version,
                    .currentVersion = current.version,
                    .problem = document.error() });
            change.body = patchBetween(current.document, *document);
            propose(current, std::move(change), done);
        });
}

} // namespace marigold::control
