#include "prompt_text.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <vector>

namespace egretmount::load {

namespace {

constexpr std::size_t bytesPerToken = 4;

// Replaces characters that JSON would escape, so that any prefix of the text is a valid JSON
// string.
char jsonSafeCharacter(char character)
{
    const unsigned char byte = static_cast<unsigned char>(character);
    if (byte < ' ' || byte >= 0x7f)
        return ' ';
    if (character == '"')
        return '\'';
    return character == '\\' ? '/' : character;
}

std::string readDocuments(const std::string &folder)
{
    std::vector<std::string> paths;
    for (const std::filesystem::directory_entry &entry :
         std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".md")
            paths.push_back(entry.path().string());
    }
    std::sort(paths.begin(), paths.end());
    std::string text;
    for (const std::string &path : paths) {
        std::ifstream stream(path);
        text.append(std::istreambuf_iterator<char>(stream), {});
    }
    std::transform(text.begin(), text.end(), text.begin(), jsonSafeCharacter);
    return text;
}

} // namespace

PromptText::PromptText(const std::string &folder, TokenCount maxPromptTokens)
{
    const std::string documents = readDocuments(folder);
    if (documents.empty())
        throw std::runtime_error("no Markdown text in " + folder
                                 + "; set run.documents to another folder");
    const std::size_t bytes = static_cast<std::size_t>(maxPromptTokens) * bytesPerToken;
    m_text.reserve(bytes + documents.size());
    while (m_text.size() < bytes)
        m_text += documents;
}

std::string_view PromptText::prefix(TokenCount tokens) const
{
    return std::string_view(m_text).substr(0, static_cast<std::size_t>(tokens) * bytesPerToken);
}

} // namespace egretmount::load
