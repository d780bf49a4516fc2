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

/// Asks an engine for an end state; repeating an order that is already met has no effect.
struct engine_order {
    engine_order_kind kind = engine_order_kind::LoadVersion;
    std::string model;
    std::string value; ///< Version, adapter or role, by kind.
    std::uint64_t fencingToken = 0; ///< Engines that check it refuse a token below the highest one they saw.
};

/// What an engine says of itself.
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
    int slots = 0; ///< Runs that are batched together.
};

/// Port to the control side of a model engine.
class model_engine {
public:
    template <typename T> using callback = std::function<void(base::result<T>)>;

    virtual ~model_engine() = default;

    /// Reads the state of the engine.
    virtual void state(callback<engine_state> done) = 0;

    /// Sends \a order; the callback runs when the engine has met it, refused it (`Conflict`) or was lost.
    virtual void order(engine_order order, callback<void> done) = 0;

    /// Cancels the loading in progress, if there is one.
    virtual void cancelLoading(callback<void> done) = 0;
};

} // namespace marigold::platform
