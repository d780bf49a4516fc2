#include "wire_dialect.h"

namespace marigold::relay {

int relay_request::sharedTokens() const
{
    int tokens = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        tokens += parts[i].tokens;
    return tokens;
}

} // namespace marigold::relay
