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
    std::string text; ///< The text that `document` was parsed from; sent to peers.
    Milliseconds adoptedAt;
    /// The last text that failed validation; kept so that it is validated only once.
    std::string refusedText;
    std::vector<Problem> refusedProblems;
};

/// @brief Result of offering a document to an instance.
enum class Adoption {
    Adopted, ///< The document is now in force.
    Same, ///< The same text is already in force.
    Older, ///< The document in force has precedence and stays.
    Invalid, ///< The document failed validation; the one in force stays.
};

/// @brief Result of an offer, with the validation problems of an invalid document.
struct OfferResult
{
    Adoption adoption = Adoption::Same;
    std::vector<Problem> problems;
};

/// @brief Validates a document from the platform or a peer and adopts it if it has precedence.
///
/// The document with the highest version has precedence. Of two documents with the same version,
/// the one with the higher digest has precedence, so that all instances converge. The version in
/// force is monotonic: a lower version never replaces a higher one.
/// @complexity That of `parseFleetDocument`; linear for the text in force or the last refused text.
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
