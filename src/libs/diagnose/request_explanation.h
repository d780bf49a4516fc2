#pragma once

#include "log_collection.h"

#include <string>
#include <vector>

namespace marigold::diagnose {

/// One line of the course of a request.
struct explained_event {
    milliseconds at { 0 }; ///< Since the request arrived.
    std::string process;
    std::string name;
    std::string detail;
};

/// How a request went and why it ended so.
struct request_explanation {
    bool found = false; ///< A process logged its end.
    std::string process = {}; ///< That served it.
    std::string cause; ///< One or two sentences.
    std::vector<std::string> evidence = {}; ///< What the cause was concluded from, and what is in doubt.
    std::vector<explained_event> timeline = {};
};

/// Explains the request that \a logs were collected for.
request_explanation explain(const log_collection& logs);

} // namespace marigold::diagnose
