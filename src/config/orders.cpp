#include <egretmount/config/orders.h>

#include <algorithm>

namespace egretmount::config {

ServedModel desiredModel(const FleetDocument &document, const Target &target)
{
    ServedModel servedModel;
    const Service *service = findService(document, target.service);
    if (!service)
        return servedModel;
    servedModel.model = service->model;
    servedModel.modelVersion = service->modelVersion;
    servedModel.adapters = service->adapters;
    std::sort(servedModel.adapters.begin(), servedModel.adapters.end());
    return servedModel;
}

std::optional<EngineOrder> orderFor(const FleetDocument &document, const Target &target,
                                    const EngineReport &report)
{
    const ServedModel desired = desiredModel(document, target);
    const bool needsFence = target.checksFence && report.fence < document.version;
    if (report.servedModel == desired && !needsFence)
        return std::nullopt;
    // An engine that executed an order of a newer document is ahead of this instance.
    if (report.fence > document.version)
        return std::nullopt;
    const bool isOtherModel = report.servedModel.model != desired.model
                              || report.servedModel.modelVersion != desired.modelVersion;
    if (isOtherModel && report.isBusy)
        return std::nullopt;
    return EngineOrder { document.version, desired };
}

} // namespace egretmount::config
