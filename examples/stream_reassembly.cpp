// Reassembles a response stream: chunks that arrive late, twice or out of order are forwarded once
// and in order.

#include <iostream>

#include <egretmount/stream/reassembly.h>

int main()
{
    using namespace egretmount;
    stream::Reassembly state;
    const std::vector<stream::Chunk> arrivals {
        { 0, "The ", false }, { 2, "is ", false },     { 1, "van ", false },
        { 1, "van ", false }, { 3, "eligible", true },
    };
    for (const stream::Chunk &chunk : arrivals) {
        for (const stream::Chunk &ready : stream::accept(state, chunk))
            std::cout << ready.payload;
    }
    std::cout << (state.isComplete ? "." : "…") << '\n';
}
