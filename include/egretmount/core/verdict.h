#pragma once

#include <egretmount/core/names.h>

namespace egretmount {

/// @brief Whether a request was executed, as far as this instance knows.
///
/// `NotRun` is reported only if no byte of the request can have reached a target.
enum class Verdict {
    NotRun, ///< No target has received any of it, and none will.
    MayHaveRun, ///< A target may have executed it completely or in part.
    Ran, ///< A target has executed it and its response is known.
};

template<>
struct NameTable<Verdict>
{
    static constexpr std::array<NameEntry<Verdict>, 3> entries { {
        { Verdict::NotRun, "not run" },
        { Verdict::MayHaveRun, "may have run" },
        { Verdict::Ran, "ran" },
    } };
};

} // namespace egretmount
