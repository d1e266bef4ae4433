#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <egretmount/core/names.h>

namespace egretmount::metrics {

/// @brief What is measured of a request.
enum class Measure {
    FirstToken, ///< Seconds from arrival to the first token.
    BetweenTokens, ///< Seconds between two tokens of one answer.
    Total, ///< Seconds from arrival to the end of the answer.
    Queueing, ///< Seconds from arrival until a target was given.
    Slowdown, ///< First-token time over the least seen for a prompt of that length.
};

constexpr std::size_t measureCount = 5;

} // namespace egretmount::metrics

template<>
struct egretmount::NameTable<egretmount::metrics::Measure>
{
    using Measure = egretmount::metrics::Measure;
    static constexpr std::array<NameEntry<Measure>, egretmount::metrics::measureCount> entries { {
        { Measure::FirstToken, "first_token_seconds" },
        { Measure::BetweenTokens, "between_tokens_seconds" },
        { Measure::Total, "total_seconds" },
        { Measure::Queueing, "queueing_seconds" },
        { Measure::Slowdown, "slowdown_ratio" },
    } };
};

namespace egretmount::metrics {

/// @brief One bucket of a histogram, counted from the least value up.
struct Bucket
{
    double upperBound = 0; ///< Values below it are counted; infinity for the last bucket.
    std::uint64_t cumulativeCount = 0;
};

/// @brief One histogram for each measure, with buckets of logarithmic width.
///
/// Values from a thousandth to a thousand have buckets of their own. The memory is fixed at
/// construction.
class MeasureHistograms
{
public:
    MeasureHistograms();
    ~MeasureHistograms();
    MeasureHistograms(const MeasureHistograms &other);
    MeasureHistograms(MeasureHistograms &&other) noexcept;
    MeasureHistograms &operator=(const MeasureHistograms &other);
    MeasureHistograms &operator=(MeasureHistograms &&other) noexcept;

    /// @brief Counts a value. @complexity Constant.
    void add(Measure measure, double value);

    /// @brief Adds all counts of another.
    void add(const MeasureHistograms &other);

    /// @brief The buckets of a measure with cumulative counts, the last up to infinity.
    std::vector<Bucket> buckets(Measure measure) const;

    /// @brief Sum of the values of a measure.
    double sum(Measure measure) const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace egretmount::metrics
