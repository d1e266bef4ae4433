#pragma once

#include <string>
#include <string_view>

#include <egretmount/config/document.h>
#include <egretmount/config/review.h>

namespace egretmount::console {

/// @brief Escapes a text for HTML content and quoted attributes.
std::string escape(std::string_view text);

/// @brief What a page shows above its content.
struct PageHead
{
    std::string title;
    std::string notice; ///< A line for the operator; empty: none.
    bool isAlert = false; ///< The notice is a problem.
};

/// @brief A whole page around a content that is HTML already.
std::string page(const PageHead &head, const std::string &content);

/// @brief The overview: zones, services, targets, priorities and teams, with forms to change them.
/// @param ini The document as text sections; `draft` is the same as one string.
std::string overview(const config::IniText &ini, const std::string &draft);

/// @brief The form of one section, made from its specification.
/// @param section Values to show; null for a new section.
std::string sectionForm(const config::SectionSpec &spec, const config::IniSection *section,
                        const std::string &draft);

/// @brief What a draft would change, what that would do, and the document to publish if it is safe.
/// @param inForce The text that the platform has now.
std::string reviewContent(const std::string &inForce, const std::string &draft,
                          const config::Review &review);

/// @brief A list of problems.
std::string problemList(const std::vector<config::Problem> &problems);

} // namespace egretmount::console
