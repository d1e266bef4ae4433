// Fuzz target: reads arbitrary bytes as an engine's event stream. Checks that reassembly emits
// chunks without gaps, repetitions or reordering.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>

#include <egretmount/stream/reassembly.h>

#include "event_reader.h"

using namespace egretmount;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::istringstream stream(std::string(reinterpret_cast<const char *>(data), size));
    entry::EventReader reader(stream);
    stream::Reassembly state;
    TokenCount expected = 0;
    while (const std::optional<stream::Chunk> chunk = reader.next()) {
        for (const stream::Chunk &ready : stream::accept(state, *chunk)) {
            if (ready.offset != expected++)
                std::abort();
        }
    }
    return 0;
}
