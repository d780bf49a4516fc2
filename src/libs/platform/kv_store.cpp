#include "kv_store.h"

namespace marigold::platform {

void kv_store::snapshot(std::string_view, callback<kv_snapshot> done)
{
    done(base::notRun(base::error_reason::Unavailable, "this key-value service does not support snapshots"));
}

} // namespace marigold::platform
