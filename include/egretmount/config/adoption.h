#pragma once

#include <memory>
#include <string>

#include <egretmount/config/document.h>
#include <egretmount/core/clock.h>

namespace egretmount::config {

/// @brief The configuration in force at one instance.
struct ConfigState
{
    std::shared_ptr<const FleetDocument> document; ///< Null until the first adoption.
    std::string text; ///< The text of `document`, for peers.
    Milliseconds adoptedAt;
    std::string refusedText; ///< The last text that did not validate, to check it only once.
    std::vector<Problem> refusedProblems;
};

/// @brief What became of an offered document.
enum class Adoption {
    Adopted, ///< In force now.
    Same, ///< Already in force.
    Older, ///< A higher version is in force; kept.
    Invalid, ///< Does not validate; what was in force stays.
};

/// @brief The outcome of an offer, with the problems of an invalid document.
struct OfferResult
{
    Adoption adoption = Adoption::Same;
    std::vector<Problem> problems;
};

/// @brief Offers a document from the platform or a peer.
///
/// The highest version wins; of two documents with one version, the one with the higher digest, so
/// that all instances converge. A lower version never replaces a higher one.
/// @complexity That of `parseFleetDocument`; linear for the text in force or last refused.
OfferResult offer(ConfigState &state, const std::string &text, Milliseconds now);

} // namespace egretmount::config

namespace egretmount {

template<>
struct NameTable<config::Adoption>
{
    static constexpr std::array<NameEntry<config::Adoption>, 4> entries { {
        { config::Adoption::Adopted, "adopted" },
        { config::Adoption::Same, "same" },
        { config::Adoption::Older, "older" },
        { config::Adoption::Invalid, "invalid" },
    } };
};

} // namespace egretmount
