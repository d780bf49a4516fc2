#pragma once

#include "log_collection.h"

#include <string>
#include <vector>

namespace marigold::diagnose {

/// One line of the timeline of a request.
struct explained_event {
    milliseconds at { 0 }; ///< Since the request arrived.
    std::string process;
    std::string name;
    std::string detail;
};

/// Explanation of how and why a request ended.
struct request_explanation {
    bool found = false; ///< A process logged the end of the request.
    std::string process = {}; ///< Process that served the request.
    std::string cause; ///< One or two sentences.
    std::vector<std::string> evidence = {}; ///< Observations that support the cause, and reasons for doubt.
    std::vector<explained_event> timeline = {};
};

/// Explains the request for which \a logs were collected.
request_explanation explain(const log_collection& logs);

} // namespace marigold::diagnose
