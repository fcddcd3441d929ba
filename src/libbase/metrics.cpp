#include "metrics.h"

// Boost.Accumulators 1.74 uses string streams without including them.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <utility>

namespace Chestnutcove {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Probabilities{0.5, 0.95, 0.99};
constexpr const char *Prefix = "chestnutcove_";

using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

}

class Distribution::Impl
{
public:
    Impl()
        : accumulator_(acc::extended_p_square_probabilities = Probabilities)
    {
    }

    Accumulator accumulator_; // NOLINT(readability-identifier-naming)
};

Distribution::Distribution()
    : impl_(std::make_unique<Impl>())
{
}

Distribution::~Distribution() = default;

void Distribution::add(double value)
{
    const std::lock_guard lock(mutex_);
    impl_->accumulator_(value);
}

std::uint64_t Distribution::count() const
{
    const std::lock_guard lock(mutex_);
    return acc::count(impl_->accumulator_);
}

double Distribution::sum() const
{
    const std::lock_guard lock(mutex_);
    return acc::sum(impl_->accumulator_);
}

double Distribution::quantile(double probability) const
{
    const std::lock_guard lock(mutex_);
    if (acc::count(impl_->accumulator_) == 0) {
        return 0;
    }
    return acc::quantile(impl_->accumulator_, acc::quantile_probability = probability);
}

Counter &Metrics::counter(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    auto &slot = counters_[name];
    if (!slot) {
        slot = std::make_unique<Counter>();
    }
    return *slot;
}

Distribution &Metrics::distribution(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    auto &slot = distributions_[name];
    if (!slot) {
        slot = std::make_unique<Distribution>();
    }
    return *slot;
}

void Metrics::gauge(const std::string &name, std::function<double()> read)
{
    const std::lock_guard lock(mutex_);
    gauges_[name] = std::move(read);
}

std::string Metrics::toPrometheusText() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream text;
    for (const auto &[name, counter] : counters_) {
        text << Prefix << name << ' ' << counter->value() << '\n';
    }
    for (const auto &[name, read] : gauges_) {
        text << Prefix << name << ' ' << read() << '\n';
    }
    for (const auto &[name, distribution] : distributions_) {
        for (const double probability : Probabilities) {
            text << Prefix << name << "{quantile=\"" << probability << "\"} " << distribution->quantile(probability) << '\n';
        }
        text << Prefix << name << "_sum " << distribution->sum() << '\n';
        text << Prefix << name << "_count " << distribution->count() << '\n';
    }
    return text.str();
}

}
