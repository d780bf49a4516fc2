#pragma once

#include <node/node.h>

#include <string>

namespace marigold::entry {

/// Proposes the document in \a file as version 1 if the configuration log is empty. Of several entries that
/// start at once, one wins; the others take its version.
void proposeFirstConfig(node::fleet_node& node, const std::string& file);

} // namespace marigold::entry
