#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <egretmount/core/names.h>

namespace egretmount::metrics {

/// @brief Quantity that is measured for a request.
enum class Measure {
    FirstToken, ///< Seconds from arrival to the first token.
    BetweenTokens, ///< Seconds between two tokens of one response.
    Total, ///< Seconds from arrival to the end of the response.
    Queueing, ///< Seconds from arrival until a target was assigned.
    Slowdown, ///< First-token time divided by the minimum seen in the length class.
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

/// @brief One bucket of a histogram with a cumulative count.
struct Bucket
{
    double upperBound = 0; ///< Exclusive; infinity for the last bucket.
    std::uint64_t cumulativeCount = 0; ///< Number of all values below `upperBound`.
};

/// @brief One histogram for each measure, with logarithmic buckets.
///
/// The regular buckets cover 0.001 to 1000; the first bucket counts smaller values and the last one
/// larger values. All memory is allocated at construction.
class MeasureHistograms
{
public:
    MeasureHistograms();
    ~MeasureHistograms();
    MeasureHistograms(const MeasureHistograms &other);
    MeasureHistograms(MeasureHistograms &&other) noexcept;
    MeasureHistograms &operator=(const MeasureHistograms &other);
    MeasureHistograms &operator=(MeasureHistograms &&other) noexcept;

    /// @brief Adds a value. @complexity Constant.
    void add(Measure measure, double value);

    /// @brief Adds all counts and sums of `other`.
    void add(const MeasureHistograms &other);

    /// @brief Returns the buckets of a measure in ascending order, the last up to infinity.
    std::vector<Bucket> buckets(Measure measure) const;

    /// @brief Returns the sum of all values of a measure.
    double sum(Measure measure) const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace egretmount::metrics
