#include "member.h"

#include <array>

namespace marigold::control {

std::string_view nameOf(member_state state)
{
    constexpr std::array<std::string_view, 5> names { "alive", "suspect", "unreachable", "leaving", "dead" };
    return names[static_cast<std::size_t>(state)];
}

std::uint16_t weightTag(std::string_view version)
{
    const auto tag = static_cast<std::uint16_t>(base::hash64(version));
    return tag == 0 ? 1 : tag;
}

int loadClass(const load_summary& load)
{
    if (load.bound == 0)
        return 0;
    if (load.queued > 0 || load.running >= load.bound)
        return 4;
    const int percent = 100 * load.running / load.bound;
    return percent < 50 ? 1 : percent < 80 ? 2 : 3;
}

std::string_view ipOf(std::string_view id)
{
    return id.substr(0, id.rfind(':'));
}

} // namespace marigold::control
