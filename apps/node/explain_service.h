#pragma once

#include <string>

#include <tl/expected.hpp>

#include <egretmount/core/ids.h>
#include <egretmount/fleet/configuration.h>

#include "kernel/service.h"
#include "metrics_service.h"
#include "placement_service.h"

namespace egretmount::node {

class FleetService;
class RelayService;

/// @brief Answers where a prompt would go now, under `/explain` on the metrics port.
///
/// Answering changes no state: nothing is sent, reserved or counted.
class ExplainService : public kernel::Service
{
public:
    static constexpr std::string_view serviceName = "explain";

    explicit ExplainService(kernel::ServiceRegistry &registry);

    std::string_view name() const override { return serviceName; }
    void start() override;

private:
    /// @brief The request that an operator asks about.
    struct Question
    {
        const fleet::ServiceSpec *service = nullptr;
        const fleet::Route *route = nullptr;
        std::string team; ///< Empty: none.
        TokenCount promptTokens = 0;
    };

    /// @brief Reads the query. @return What is wrong with it and what is allowed, if it is invalid.
    tl::expected<Question, std::string> parse(const fleet::Configuration &configuration,
                                              const std::string &query) const;
    MetricsPage answer(const std::string &query) const;
    std::string explanationOf(const Question &question) const;

    kernel::ServiceRegistry &m_registry;
    FleetService *m_fleet = nullptr;
    PlacementService *m_placement = nullptr;
    RelayService *m_relay = nullptr;
};

} // namespace egretmount::node
