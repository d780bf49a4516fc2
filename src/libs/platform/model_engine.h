#pragma once

#include <base/base.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace marigold::platform {

enum class engine_order_kind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    ChangeRole,
};

/// Order to an engine to reach a state. Repeating an order whose state is already reached has no effect.
struct engine_order {
    engine_order_kind kind = engine_order_kind::LoadVersion;
    std::string model;
    std::string value; ///< Version, adapter or role, depending on the kind.
    std::uint64_t fencingToken = 0; ///< Engines that check it refuse a token below the highest received one.
};

/// State reported by an engine.
struct engine_state {
    std::string model;
    std::string version; ///< Weight version that new runs use.
    std::string role;
    std::vector<std::string> adapters;
    bool loading = false; ///< Weights are being loaded.
    bool checksFencing = false;
    std::uint64_t highestToken = 0;
    int running = 0;
    int queued = 0;
    int slots = 0; ///< Maximum number of runs in one batch.
};

/// Port to the control interface of a model engine.
class model_engine {
public:
    template <typename T> using callback = std::function<void(base::result<T>)>;

    virtual ~model_engine() = default;

    /// Reads the state of the engine.
    virtual void state(callback<engine_state> done) = 0;

    /// Sends \a order; calls \a done once the engine has completed it or refused it (`Conflict`), or if
    /// the engine was lost.
    virtual void order(engine_order order, callback<void> done) = 0;

    /// Cancels the load in progress, if any.
    virtual void cancelLoading(callback<void> done) = 0;
};

} // namespace marigold::platform
