#pragma once

#include <cstddef>

namespace marigold::net {

/// Returns how many bytes that were written to the TCP socket \a socket the other end has not acknowledged; 0
/// if that is unknown. The FIN of the other end acknowledges all that had arrived there, so that a positive
/// result after it means that the other end has not read everything.
std::size_t unacknowledgedBytes(int socket);

} // namespace marigold::net
