#include "run_file.h"

#include <fstream>
#include <stdexcept>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace egretmount::load {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

Array toArray(const std::vector<std::string> &texts)
{
    Array array;
    for (const std::string &text : texts)
        array.add(text);
    return array;
}

std::vector<std::string> toTexts(const Array::Ptr &array)
{
    std::vector<std::string> texts;
    for (unsigned i = 0; i < array->size(); ++i)
        texts.push_back(array->getElement<std::string>(i));
    return texts;
}

Array toArray(const std::vector<InjectedFault> &faults)
{
    Array array;
    for (const InjectedFault &fault : faults) {
        Object row;
        row.set("name", fault.name);
        row.set("at_ms", fault.at.count());
        array.add(row);
    }
    return array;
}

std::vector<InjectedFault> toFaults(const Array::Ptr &array)
{
    std::vector<InjectedFault> faults;
    for (unsigned i = 0; i < array->size(); ++i) {
        const Object::Ptr row = array->getObject(i);
        faults.push_back({ row->getValue<std::string>("name"),
                           Milliseconds(row->getValue<std::int64_t>("at_ms")) });
    }
    return faults;
}

// The keys of the header and of the lines are a stored format, which later builds read.
Object headerOf(const RunRecord &record)
{
    Object header;
    header.set("label", record.label);
    header.set("without", toArray(record.without));
    header.set("seed", record.seed);
    header.set("arrivals", std::to_string(record.arrivalsDigest));
    header.set("requests_per_second", record.requestsPerSecond);
    header.set("seconds", record.seconds);
    header.set("unsent", static_cast<std::uint64_t>(record.unsent));
    header.set("faults", toArray(record.faults));
    return header;
}

RunRecord readHeader(const Object &header)
{
    RunRecord record;
    record.label = header.getValue<std::string>("label");
    record.without = toTexts(header.getArray("without"));
    record.seed = header.getValue<std::uint64_t>("seed");
    record.arrivalsDigest = std::stoull(header.getValue<std::string>("arrivals"));
    record.requestsPerSecond = header.getValue<std::int64_t>("requests_per_second");
    record.seconds = header.getValue<std::int64_t>("seconds");
    record.unsent = static_cast<std::size_t>(header.getValue<std::uint64_t>("unsent"));
    record.faults = toFaults(header.getArray("faults"));
    return record;
}

Object lineOf(const Sample &sample)
{
    Object line;
    line.set("at_ms", sample.at.count());
    line.set("length", sample.length);
    line.set("team", sample.team);
    line.set("path", sample.path);
    line.set("prompt_tokens", sample.promptTokens);
    line.set("deadline_ms", sample.deadlineMillis);
    line.set("sent_late_us", sample.sentLateMicros);
    line.set("status", sample.status);
    line.set("target", sample.target);
    line.set("verdict", sample.verdict);
    line.set("error", sample.error);
    line.set("retry_after_ms", sample.retryAfterMillis);
    line.set("first_token_us", sample.firstTokenMicros);
    line.set("total_us", sample.totalMicros);
    line.set("longest_gap_us", sample.longestGapMicros);
    line.set("answer_tokens", sample.outputTokens);
    line.set("whole", sample.isComplete);
    return line;
}

Sample readLine(const Object &line)
{
    Sample sample;
    sample.at = Milliseconds(line.getValue<std::int64_t>("at_ms"));
    sample.length = line.getValue<std::string>("length");
    sample.team = line.getValue<std::string>("team");
    sample.path = line.getValue<std::string>("path");
    sample.promptTokens = line.getValue<std::int64_t>("prompt_tokens");
    sample.deadlineMillis = line.getValue<std::int64_t>("deadline_ms");
    sample.sentLateMicros = line.getValue<std::int64_t>("sent_late_us");
    sample.status = line.getValue<int>("status");
    sample.target = line.getValue<std::string>("target");
    sample.verdict = line.getValue<std::string>("verdict");
    sample.error = line.getValue<std::string>("error");
    sample.retryAfterMillis = line.getValue<std::int64_t>("retry_after_ms");
    sample.firstTokenMicros = line.getValue<std::int64_t>("first_token_us");
    sample.totalMicros = line.getValue<std::int64_t>("total_us");
    sample.longestGapMicros = line.getValue<std::int64_t>("longest_gap_us");
    sample.outputTokens = line.getValue<std::int64_t>("answer_tokens");
    sample.isComplete = line.getValue<bool>("whole");
    return sample;
}

Object::Ptr parse(const std::string &line)
{
    return Poco::JSON::Parser().parse(line).extract<Object::Ptr>();
}

} // namespace

void writeRunFile(const RunRecord &record, const std::string &path)
{
    std::ofstream stream(path);
    headerOf(record).stringify(stream);
    stream << '\n';
    for (const Sample &sample : record.samples) {
        lineOf(sample).stringify(stream);
        stream << '\n';
    }
    if (!stream.flush())
        throw std::runtime_error(path + ": cannot be written");
}

RunRecord readRunFile(const std::string &path)
{
    std::ifstream stream(path);
    std::string line;
    if (!std::getline(stream, line))
        throw std::runtime_error(path + ": contains no run");
    RunRecord record = readHeader(*parse(line));
    while (std::getline(stream, line))
        record.samples.push_back(readLine(*parse(line)));
    return record;
}

} // namespace egretmount::load
