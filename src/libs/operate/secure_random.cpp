#include "secure_random.h"

#include <cerrno>
#include <system_error>

#include <sys/random.h>

namespace marigold::operate {

void systemRandomBytes(std::span<std::uint8_t> out)
{
    while (!out.empty()) {
        const ssize_t count = getrandom(out.data(), out.size(), 0);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            throw std::system_error(errno, std::generic_category(), "getrandom");
        out = out.subspan(static_cast<std::size_t>(count));
    }
}

} // namespace marigold::operate
