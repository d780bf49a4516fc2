#pragma once

#include <outcome/outcome.h>
#include <protocol/protocol.h>

#include <string>
#include <string_view>

namespace marigold::agent {

/// Returns the name of \a run at the engine. It depends on the team, so that a run of another team cannot be
/// asked for.
std::string engineIdOf(std::string_view team, std::string_view run);

/// Returns \a piece as it is sent to an entry.
protocol::run_piece toMessage(const outcome::answer_piece& piece);

/// Returns the priority that an engine takes for the class \a priority of a caller: engines honour higher
/// numbers first, callers give 0 to the most urgent class.
int enginePriority(int priority);

} // namespace marigold::agent
