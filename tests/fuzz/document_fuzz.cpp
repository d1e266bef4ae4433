// Fuzz target: parses arbitrary bytes as a fleet document and as an instance list, which arrive
// from the platform.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <egretmount/config/document.h>
#include <egretmount/membership/instance_list.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    if (const tl::expected<egretmount::config::FleetDocument,
                           std::vector<egretmount::config::Problem>>
            document = egretmount::config::parseFleetDocument(text, "fuzz"))
        egretmount::config::findTeamByToken(*document, text);
    egretmount::membership::parseInstanceList(text);
    return 0;
}
