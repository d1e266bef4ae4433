#include "http/load_report.h"

#include <Poco/Exception.h>
#include <Poco/Net/MessageHeader.h>
#include <Poco/Net/NameValueCollection.h>
#include <Poco/NumberParser.h>

namespace egretmount::http {

std::string writeLoadReport(const routing::LoadReport &report)
{
    return "boot=" + std::to_string(report.bootId) + ";tokens=" + std::to_string(report.usedTokens)
           + ";slots=" + std::to_string(report.usedSlots)
           + ";waiting=" + std::to_string(report.waitingPromptTokens)
           + ";warm=" + (report.isWarm ? "1" : "0") + ";version=" + report.modelVersion;
}

bool readLoadReport(const std::string &text, routing::LoadReport &report)
{
    Poco::Net::NameValueCollection pairs;
    Poco::Net::MessageHeader::splitParameters(text.begin(), text.end(), pairs);
    try {
        routing::LoadReport parsed;
        parsed.bootId = Poco::NumberParser::parseUnsigned64(pairs.get("boot"));
        parsed.usedTokens = Poco::NumberParser::parse64(pairs.get("tokens"));
        parsed.usedSlots = Poco::NumberParser::parse64(pairs.get("slots"));
        parsed.waitingPromptTokens = Poco::NumberParser::parse64(pairs.get("waiting"));
        parsed.isWarm = pairs.get("warm") == "1";
        parsed.modelVersion = pairs.get("version", "");
        report = parsed;
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace egretmount::http
