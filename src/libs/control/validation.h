#pragma once

#include "config_document.h"

namespace marigold::control {

/// Checks that \a content is consistent: every name that is referred to exists, and at least one failure
/// domain is in service if there is any. The error's `field` is the path of the reference.
base::result<void> checkReferences(const config_content& content);

/// Checks the step from \a before to \a after for what would break the fleet: the last failure domain taken
/// out of service, the last operator who may change anything removed, a model or service removed that targets
/// still serve, and a capacity below the floor.
base::result<void> checkTransition(const config_content& before, const config_content& after);

} // namespace marigold::control
