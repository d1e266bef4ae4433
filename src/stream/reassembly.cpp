#include <egretmount/stream/reassembly.h>

namespace egretmount::stream {

std::vector<Chunk> accept(Reassembly &state, Chunk chunk)
{
    std::vector<Chunk> ready;
    const bool isRepeat = state.isComplete || chunk.offset < state.nextOffset;
    if (isRepeat || state.waiting.size() >= maxWaitingChunks)
        return ready;
    state.waiting.emplace(chunk.offset, std::move(chunk));
    auto next = state.waiting.find(state.nextOffset);
    while (next != state.waiting.end()) {
        state.isComplete = next->second.isLast;
        ready.push_back(std::move(next->second));
        state.waiting.erase(next);
        ++state.nextOffset;
        next = state.waiting.find(state.nextOffset);
    }
    return ready;
}

} // namespace egretmount::stream
