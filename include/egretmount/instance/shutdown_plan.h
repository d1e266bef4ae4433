#pragma once

#include <cstddef>

#include <egretmount/core/clock.h>
#include <egretmount/core/names.h>

namespace egretmount::instance {

/// @brief What an instance does with requests at a point of its shutdown.
enum class ShutdownStage {
    Announcing, ///< Accepts connections and requests while callers learn that it leaves.
    Draining, ///< Accepts no connections, serves the requests on open ones and then closes these.
    Refusing, ///< Refuses new requests and finishes the earlier ones.
    Aborting, ///< Ends the requests that remain and delivers the responses.
    Exiting, ///< Exits, whatever remains.
};

/// @brief Times since the stop signal at which the stages of a shutdown begin.
struct ShutdownPlan
{
    Milliseconds draining;
    Milliseconds refusing;
    Milliseconds aborting;
    Milliseconds exiting;
};

/// @brief Divides the grace period into the stages of a shutdown.
///
/// A stage never begins before the one that precedes it, and the last one begins before the
/// platform kills the process. In a grace period of less than some hundred milliseconds, stages may
/// be empty.
/// @param grace Time from the stop signal to the kill.
///
/// @code
/// const ShutdownPlan plan = shutdownPlan(Milliseconds(8'000));
/// plan.draining; // 1,500 ms
/// plan.exiting; // 7,840 ms
/// @endcode
ShutdownPlan shutdownPlan(Milliseconds grace);

/// @brief Returns the stage of a shutdown.
/// @param elapsed Time since the stop signal.
ShutdownStage shutdownStage(const ShutdownPlan &plan, Milliseconds elapsed);

/// @brief What an instance still owes its callers.
struct Obligations
{
    std::size_t requests = 0; ///< Accepted and not answered yet.
    std::size_t connections = 0; ///< On which another request would be accepted.
    std::size_t bytes = 0; ///< Of responses that callers have not received yet.
};

/// @brief Returns whether an instance may exit: nothing is owed, or the grace period is over.
bool mayExit(ShutdownStage stage, const Obligations &owed);

} // namespace egretmount::instance

template<>
struct egretmount::NameTable<egretmount::instance::ShutdownStage>
{
    using ShutdownStage = egretmount::instance::ShutdownStage;
    static constexpr std::array<NameEntry<ShutdownStage>, 5> entries { {
        { ShutdownStage::Announcing, "announcing" },
        { ShutdownStage::Draining, "draining" },
        { ShutdownStage::Refusing, "refusing" },
        { ShutdownStage::Aborting, "aborting" },
        { ShutdownStage::Exiting, "exiting" },
    } };
};
