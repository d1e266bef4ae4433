#include <egretmount/core/error.h>

namespace egretmount {

tl::unexpected<Error> fail(ErrorId id, Verdict verdict, std::string detail, Milliseconds retryAfter)
{
    return tl::make_unexpected(Error { id, verdict, std::move(detail), retryAfter });
}

} // namespace egretmount
