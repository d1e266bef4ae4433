#include <egretmount/metrics/measure_histograms.h>

#include <array>
#include <limits>

#include <boost/histogram.hpp>

namespace egretmount::metrics {

namespace {

namespace bh = boost::histogram;

constexpr unsigned bucketCount = 24; // four buckets per decade
constexpr double lowestBound = 0.001;
constexpr double highestBound = 1000.0;

using MeasureAxis = bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>;
using ValueAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram =
    bh::histogram<std::tuple<MeasureAxis, ValueAxis>, bh::dense_storage<std::uint64_t>>;

Histogram makeHistogram()
{
    return bh::make_histogram_with(bh::dense_storage<std::uint64_t>(),
                                   MeasureAxis(0, static_cast<int>(measureCount)),
                                   ValueAxis(bucketCount, lowestBound, highestBound));
}

} // namespace

struct MeasureHistograms::Data
{
    Histogram histogram = makeHistogram();
    std::array<double, measureCount> sums {};
};

MeasureHistograms::MeasureHistograms()
    : m_data(std::make_unique<Data>())
{ }

MeasureHistograms::~MeasureHistograms() = default;
MeasureHistograms::MeasureHistograms(MeasureHistograms &&other) noexcept = default;

MeasureHistograms::MeasureHistograms(const MeasureHistograms &other)
    : m_data(std::make_unique<Data>(*other.m_data))
{ }

MeasureHistograms &MeasureHistograms::operator=(const MeasureHistograms &other)
{
    *m_data = *other.m_data;
    return *this;
}

MeasureHistograms &MeasureHistograms::operator=(MeasureHistograms &&other) noexcept = default;

void MeasureHistograms::add(Measure measure, double value)
{
    m_data->histogram(static_cast<int>(measure), value);
    m_data->sums[static_cast<std::size_t>(measure)] += value;
}

void MeasureHistograms::add(const MeasureHistograms &other)
{
    m_data->histogram += other.m_data->histogram;
    for (std::size_t i = 0; i < measureCount; ++i)
        m_data->sums[i] += other.m_data->sums[i];
}

std::vector<Bucket> MeasureHistograms::buckets(Measure measure) const
{
    constexpr int underflow = -1;
    std::vector<Bucket> buckets;
    std::uint64_t count = 0;
    const ValueAxis &axis = m_data->histogram.axis(std::integral_constant<unsigned, 1>());
    for (int i = underflow; i <= static_cast<int>(bucketCount); ++i) {
        count += m_data->histogram.at(static_cast<int>(measure), i);
        const bool isOverflow = i == static_cast<int>(bucketCount);
        const double upperBound =
            isOverflow ? std::numeric_limits<double>::infinity() : axis.bin(i).upper();
        buckets.push_back({ upperBound, count });
    }
    return buckets;
}

double MeasureHistograms::sum(Measure measure) const
{
    return m_data->sums[static_cast<std::size_t>(measure)];
}

} // namespace egretmount::metrics
