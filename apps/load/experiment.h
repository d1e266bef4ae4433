#pragma once

#include <string>
#include <vector>

#include <egretmount/config/ini.h>
#include <egretmount/config/schema.h>
#include <egretmount/core/names.h>

#include "workload.h"

namespace egretmount::load {

/// @brief What a scripted fault does.
enum class FaultKind {
    Signal, ///< Sends a signal to a process named on the command line.
    Document, ///< Publishes a file as the fleet document.
    Instances, ///< Publishes a file as the instance list.
    Platform, ///< Sets a fault of the platform stand-in.
    Target, ///< Sets a fault of a target stand-in.
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

/// @brief One scripted fault.
struct Fault
{
    std::string name;
    Milliseconds at; ///< Since the start of the run.
    FaultKind kind = FaultKind::Signal;
    std::string subject; ///< Process name, file or address, by kind.
    std::string value; ///< Name of the signal or of the stand-in's fault.
};

/// @brief Everything that one run needs to know.
struct Experiment
{
    std::string label; ///< Name of the setting that is measured.
    Workload workload;
    std::vector<std::string> without; ///< Lengths whose arrivals are left out.
    std::vector<std::string> entryAddresses; ///< To ask for all others; any will do.
    std::vector<std::string> directAddresses; ///< Engines that get every second request themselves.
    std::string platformAddress;
    std::string service;
    std::string documents; ///< Folder with the texts for prompts.
    int maxInFlight = 0; ///< Requests at one time; arrivals beyond it are not sent.
    std::vector<Fault> faults; ///< In order of time.
};

/// @brief Specification of the settings of an experiment.
const std::vector<config::SectionSpec> &experimentSpecs();

/// @brief Puts `section.key=value` settings, separated by commas, over those of a text.
void applyOverrides(config::IniText &text, const std::string &overrides);

/// @brief Reads an experiment.
/// @return The experiment, or all problems of the text.
tl::expected<Experiment, std::vector<config::Problem>> readExperiment(const config::IniText &text,
                                                                      std::string_view file);

} // namespace egretmount::load
