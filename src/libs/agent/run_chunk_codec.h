#pragma once

#include <outcome/outcome.h>
#include <protocol/protocol.h>

#include <string>
#include <string_view>

namespace marigold::agent {

/// Returns the request id of \a run at the engine. It depends on the team, so that a team cannot request a
/// run of another team.
std::string engineRequestId(std::string_view team, std::string_view run);

/// Converts \a chunk to the message that is sent to an entry.
protocol::run_chunk toMessage(const outcome::answer_chunk& chunk);

/// Converts the priority class \a priority of a caller to the priority of the engine. Engines serve higher
/// numbers first; callers use 0 for the most urgent class.
int enginePriority(int priority);

} // namespace marigold::agent
