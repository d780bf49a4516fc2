#pragma once

#include <node/node.h>

#include <string>

namespace marigold::entry {

/// Proposes the document in \a file as version 1 if the configuration log is empty. If several entries start
/// at the same time, one proposal is accepted and the other entries adopt it.
void proposeFirstConfig(node::fleet_node& node, const std::string& file);

} // namespace marigold::entry
