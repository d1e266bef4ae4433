#pragma once

#include <string>
#include <vector>

#include <egretmount/config/ini.h>
#include <egretmount/config/schema.h>
#include <egretmount/core/names.h>

#include "workload.h"

namespace egretmount::load {

/// @brief Action of a scheduled fault.
enum class FaultKind {
    Signal, ///< Sends a signal to a process named on the command line.
    Document, ///< Publishes a file as the fleet document.
    Instances, ///< Publishes a file as the instance list.
    Platform, ///< Enables a fault mode of the platform stand-in.
    Target, ///< Enables a fault mode of a target stand-in.
};

} // namespace egretmount::load

template<>
struct egretmount::NameTable<egretmount::load::FaultKind>
{
    using Kind = egretmount::load::FaultKind;
    static constexpr std::array<NameEntry<Kind>, 5> entries { {
        { Kind::Signal, "signal" },
        { Kind::Document, "document" },
        { Kind::Instances, "instances" },
        { Kind::Platform, "platform" },
        { Kind::Target, "target" },
    } };
};

namespace egretmount::load {

/// @brief A fault that is injected at a given time of the run.
struct Fault
{
    std::string name;
    Milliseconds at; ///< Since the start of the run.
    FaultKind kind = FaultKind::Signal;
    std::string subject; ///< Process name, file or address, depending on the kind.
    std::string value; ///< Name of the signal or of the stand-in's fault mode.
};

/// @brief Complete description of one run.
struct Experiment
{
    std::string label; ///< Name of the configuration under test, for reports.
    Workload workload;
    std::vector<std::string> without; ///< Length shares whose arrivals are not sent.
    std::vector<std::string> entryAddresses; ///< Bootstrap instances for `Locator`; not empty.
    std::vector<std::string> directAddresses; ///< Engines for every second request; may be empty.
    std::string platformAddress; ///< Needed by faults that go through the platform.
    std::string service; ///< Service that the requests name.
    std::string documents; ///< Folder with the documents that prompts are made of.
    int maxInFlight = 0; ///< Limit of concurrent requests; arrivals beyond it are not sent.
    std::vector<Fault> faults; ///< Sorted by time.
};

/// @brief Returns the specification of an experiment's settings.
const std::vector<config::SectionSpec> &experimentSpecs();

/// @brief Overrides or adds settings of a run file.
/// @param overrides `section.key=value` entries, separated by commas.
/// @throws std::invalid_argument if an entry has another form.
void applyOverrides(config::IniText &text, const std::string &overrides);

/// @brief Validates and reads an experiment.
/// @param file Name of the run file, for problem reports.
/// @return The experiment, or all problems that were found.
tl::expected<Experiment, std::vector<config::Problem>> readExperiment(const config::IniText &text,
                                                                      std::string_view file);

} // namespace egretmount::load
