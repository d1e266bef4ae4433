#include <egretmount/stream/reassembly.h>

namespace egretmount::stream {

std::vector<Chunk> accept(Reassembly &state, Chunk chunk)
{
    std::vector<Chunk> ready;
    const bool isDuplicate = state.isComplete || chunk.offset < state.nextOffset;
    if (isDuplicate || state.hasOverflowed)
        return ready;
    if (chunk.offset != state.nextOffset && state.buffered.size() >= maxBufferedChunks) {
        state.hasOverflowed = true;
        return ready;
    }
    state.buffered.emplace(chunk.offset, std::move(chunk));
    auto next = state.buffered.find(state.nextOffset);
    while (next != state.buffered.end()) {
        state.isComplete = next->second.isLast;
        ready.push_back(std::move(next->second));
        state.buffered.erase(next);
        ++state.nextOffset;
        next = state.buffered.find(state.nextOffset);
    }
    return ready;
}

void resume(Reassembly &state)
{
    state.buffered.clear();
    state.hasOverflowed = false;
}

} // namespace egretmount::stream
