#include <egretmount/stream/reassembly.h>

namespace egretmount::stream {

std::vector<Chunk> accept(Reassembly &state, Chunk chunk)
{
    std::vector<Chunk> ready;
    const bool isRepeat = state.isComplete || chunk.offset < state.nextOffset;
    if (isRepeat || state.hasOverflowed)
        return ready;
    if (chunk.offset != state.nextOffset && state.waiting.size() >= maxWaitingChunks) {
        state.hasOverflowed = true;
        return ready;
    }
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

void resume(Reassembly &state)
{
    state.waiting.clear();
    state.hasOverflowed = false;
}

} // namespace egretmount::stream
