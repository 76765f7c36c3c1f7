#include "daisyrelay/base/latencystats.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace daisyrelay {

namespace acc = boost::accumulators;

using Summary = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>>;
using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

struct LatencyStats::State {
    Summary summary;
    Quantile median { acc::quantile_probability = 0.5 };
    Quantile p99 { acc::quantile_probability = 0.99 };
};

static Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

LatencyStats::LatencyStats() : state_(std::make_unique<State>())
{
}

LatencyStats::~LatencyStats() = default;
LatencyStats::LatencyStats(LatencyStats &&) noexcept = default;
LatencyStats &LatencyStats::operator=(LatencyStats &&) noexcept = default;

void LatencyStats::add(Duration sample)
{
    const double seconds = std::chrono::duration<double>(sample).count();
    state_->summary(seconds);
    state_->median(seconds);
    state_->p99(seconds);
}

std::uint64_t LatencyStats::count() const
{
    return acc::count(state_->summary);
}

Duration LatencyStats::mean() const
{
    return count() == 0 ? Duration::zero() : fromSeconds(acc::mean(state_->summary));
}

Duration LatencyStats::median() const
{
    return count() == 0 ? Duration::zero() : fromSeconds(acc::p_square_quantile(state_->median));
}

Duration LatencyStats::p99() const
{
    return count() == 0 ? Duration::zero() : fromSeconds(acc::p_square_quantile(state_->p99));
}

Duration LatencyStats::max() const
{
    return count() == 0 ? Duration::zero() : fromSeconds(acc::max(state_->summary));
}

} // namespace daisyrelay
