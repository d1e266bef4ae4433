#include <egretmount/config/orders.h>

#include <algorithm>

namespace egretmount::config {

EngineContent contentFor(const FleetDocument &document, const Target &target)
{
    EngineContent content;
    const Service *service = findService(document, target.service);
    if (!service)
        return content;
    content.model = service->model;
    content.modelVersion = service->modelVersion;
    content.adapters = service->adapters;
    std::sort(content.adapters.begin(), content.adapters.end());
    return content;
}

std::optional<EngineOrder> orderFor(const FleetDocument &document, const Target &target,
                                    const EngineReport &report)
{
    const EngineContent wanted = contentFor(document, target);
    const bool needsFence = target.checksFence && report.fence < document.version;
    if (report.content == wanted && !needsFence)
        return std::nullopt;
    // An engine that obeyed a newer document is ahead of this instance.
    if (report.fence > document.version)
        return std::nullopt;
    const bool isOtherModel =
        report.content.model != wanted.model || report.content.modelVersion != wanted.modelVersion;
    if (isOtherModel && report.isBusy)
        return std::nullopt;
    return EngineOrder { document.version, wanted };
}

} // namespace egretmount::config
