#include "http/engine_orders.h"

#include <algorithm>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace egretmount::http {

namespace {

Poco::JSON::Object toJson(ConfigVersion fence, const config::ServedModel &servedModel)
{
    Poco::JSON::Array adapters;
    for (const std::string &adapter : servedModel.adapters)
        adapters.add(adapter);
    Poco::JSON::Object object;
    object.set("fence", fence);
    object.set("model", servedModel.model);
    object.set("version", servedModel.modelVersion);
    object.set("adapters", adapters);
    return object;
}

std::string stringify(const Poco::JSON::Object &object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

config::EngineReport parse(const std::string &json)
{
    Poco::JSON::Parser parser;
    const Poco::JSON::Object::Ptr object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    config::EngineReport report;
    report.fence = object->getValue<Poco::UInt64>("fence");
    report.servedModel.model = object->getValue<std::string>("model");
    report.servedModel.modelVersion = object->getValue<std::string>("version");
    const Poco::JSON::Array::Ptr adapters = object->getArray("adapters");
    for (unsigned int i = 0; adapters && i < adapters->size(); ++i)
        report.servedModel.adapters.push_back(adapters->getElement<std::string>(i));
    std::sort(report.servedModel.adapters.begin(), report.servedModel.adapters.end());
    report.isBusy = object->optValue<bool>("busy", false);
    return report;
}

} // namespace

std::string writeOrder(const config::EngineOrder &order)
{
    return stringify(toJson(order.fence, order.servedModel));
}

std::string writeEngineReport(const config::EngineReport &report)
{
    Poco::JSON::Object object = toJson(report.fence, report.servedModel);
    object.set("busy", report.isBusy);
    return stringify(object);
}

Result<config::EngineReport> readEngineReport(const std::string &json)
{
    try {
        return parse(json);
    } catch (const Poco::Exception &) {
        return fail(ErrorId::MalformedRequest, Verdict::NotRun, "the text is no engine report");
    }
}

Result<config::EngineOrder> readOrder(const std::string &json)
{
    const Result<config::EngineReport> report = readEngineReport(json);
    if (!report)
        return fail(ErrorId::MalformedRequest, Verdict::NotRun, "the text is no order");
    return config::EngineOrder { report->fence, report->servedModel };
}

} // namespace egretmount::http
