#pragma once

#include "config_document.h"

namespace marigold::control {

/// Checks that \a content is consistent: every referenced name exists, and at least one failure domain is in
/// service if there are any. The `field` of the error is the path of the reference.
base::result<void> checkReferences(const config_content& content);

/// Refuses a transition from \a before to \a after that would cause an outage or lock out all operators:
/// taking the last failure domain out of service, removing the last operator with the right to change the
/// configuration, removing a model or service that targets still serve, or a capacity below the floor.
base::result<void> checkTransition(const config_content& before, const config_content& after);

} // namespace marigold::control
