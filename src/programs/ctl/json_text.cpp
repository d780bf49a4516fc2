#include "json_text.h"

namespace marigold::ctl {

bool isNestedTooDeeply(std::string_view text)
{
    constexpr int maxDepth = 200;
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString && c == '\\')
            ++i;
        else if (c == '"')
            isInString = !isInString;
        else if (!isInString && (c == '[' || c == '{') && ++depth > maxDepth)
            return true;
        else if (!isInString && (c == ']' || c == '}'))
            --depth;
    }
    return false;
}

} // namespace marigold::ctl
