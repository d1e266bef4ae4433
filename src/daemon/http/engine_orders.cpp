#include "http/engine_orders.h"

#include <algorithm>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace egretmount::http {

namespace {

Poco::JSON::Object toJson(ConfigVersion fence, const config::EngineContent &content)
{
    Poco::JSON::Array adapters;
    for (const std::string &adapter : content.adapters)
        adapters.add(adapter);
    Poco::JSON::Object object;
    object.set("fence", fence);
    object.set("model", content.model);
    object.set("version", content.modelVersion);
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
    report.content.model = object->getValue<std::string>("model");
    report.content.modelVersion = object->getValue<std::string>("version");
    const Poco::JSON::Array::Ptr adapters = object->getArray("adapters");
    for (unsigned int i = 0; adapters && i < adapters->size(); ++i)
        report.content.adapters.push_back(adapters->getElement<std::string>(i));
    std::sort(report.content.adapters.begin(), report.content.adapters.end());
    report.isBusy = object->optValue<bool>("busy", false);
    return report;
}

} // namespace

std::string writeOrder(const config::EngineOrder &order)
{
    return stringify(toJson(order.fence, order.content));
}

std::string writeEngineReport(const config::EngineReport &report)
{
    Poco::JSON::Object object = toJson(report.fence, report.content);
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
    return config::EngineOrder { report->fence, report->content };
}

} // namespace egretmount::http
