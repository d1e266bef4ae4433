#include <algorithm>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "report.h"
#include "run_file.h"
#include "runner.h"
#include "support/fleet.h"

using namespace egretmount;
using namespace egretmount::literals;
using namespace egretmount::tests;

namespace {

load::Experiment makeExperiment(const Fleet &fleet)
{
    load::Experiment experiment;
    experiment.label = "test";
    experiment.workload.seed = 3;
    experiment.workload.duration = 2'000_ms;
    experiment.workload.requestsPerSecond = 30;
    experiment.workload.lengths = { { "short", 9, 50, 500, 4, 10'000_ms },
                                    { "long", 1, 20'000, 40'000, 4, 20'000_ms } };
    experiment.workload.teams = { { "testers", 1, Fleet::token } };
    experiment.entryAddresses = { fleet.entryAddress(0), fleet.entryAddress(1) };
    experiment.platformAddress = fleet.platformAddress();
    experiment.service = "llm";
    experiment.documents = fleet.folder();
    experiment.maxInFlight = 200;
    return experiment;
}

} // namespace

TEST_CASE("load run sends all arrivals, carries out its faults and is compared with another")
{
    Fleet fleet({});
    fleet.waitReady();
    std::ofstream(fleet.folder() + "/text.md") << "The dealer asks, \"is this van\\eligible?\"\n";
    load::Experiment experiment = makeExperiment(fleet);
    experiment.directAddresses = { fleet.engineAddress(0) };
    experiment.faults = { { "stale", 500_ms, load::FaultKind::Platform, "", "stale" } };
    const load::RunRecord run = load::runExperiment(experiment, {});

    const std::vector<load::Arrival> arrivals = load::makeArrivals(experiment.workload);
    REQUIRE(run.samples.size() == arrivals.size());
    CHECK(run.unsent == 0);
    CHECK(run.arrivalsDigest == load::digestOf(arrivals));
    REQUIRE(load::phasesOf(run).size() == 2);
    CHECK(load::phasesOf(run)[1].name == "stale");
    CHECK(load::phasesOf(run)[1].length == 1'500_ms);
    CHECK(load::phasesOf(run)[0].samples.size() + load::phasesOf(run)[1].samples.size()
          == run.samples.size());
    const auto isComplete = [](const load::Sample &sample) {
        return sample.isComplete && sample.outputTokens == 4;
    };
    CHECK(std::all_of(run.samples.begin(), run.samples.end(), isComplete));
    const auto isDirect = [](const load::Sample &sample) { return sample.path == "direct"; };
    CHECK(std::count_if(run.samples.begin(), run.samples.end(), isDirect)
          == static_cast<long>(arrivals.size() / 2));

    const std::string path = fleet.folder() + "/a.run";
    load::writeRunFile(run, path);
    const load::RunRecord read = load::readRunFile(path);
    std::ostringstream before;
    std::ostringstream after;
    load::writeJson({ run }, before);
    load::writeJson({ read }, after);
    CHECK(before.str() == after.str());

    experiment.without = { "long" };
    const load::RunRecord alone = load::runExperiment(experiment, {});
    CHECK(alone.samples.size() < run.samples.size());
    CHECK(load::checkComparable({ read, alone }).empty());
    REQUIRE(load::slowdownsOf({ read, alone }).size() == 1);
    CHECK(load::slowdownsOf({ read, alone }).front().length == "short");

    ++experiment.workload.seed;
    CHECK_FALSE(load::checkComparable({ read, load::runExperiment(experiment, {}) }).empty());
}

TEST_CASE("load settings are checked before anything is sent")
{
    const std::string good = "[run]\nseconds=1\nrequestsPerSecond=5\nentries=127.0.0.1:1\n"
                             "[length.short]\nweight=1\nlowTokens=9\nhighTokens=10\n"
                             "answerTokens=1\ndeadlineMs=100\n[team.a]\nweight=1\ntoken=t\n"
                             "[fault.x]\natMs=5\nkind=signal\nsubject=entry-1\nvalue=KILL\n";
    config::IniText text = *config::readIni(good);
    REQUIRE(load::readExperiment(text, "file"));
    CHECK_FALSE(load::checkFaults(*load::readExperiment(text, "file"), {}).empty());
    CHECK(load::checkFaults(*load::readExperiment(text, "file"),
                            load::readProcessIds("entry-1=1,entry-2=2"))
              .empty());
    load::applyOverrides(text, "run.seed=9,length.short.lowTokens=11");
    CHECK(load::readExperiment(text, "file").error().front().key == "highTokens");
    CHECK_THROWS(load::applyOverrides(text, "seed"));
    CHECK_THROWS(load::readProcessIds("entry-1"));
}
