#include "prefillrateestimator.h"

#include <algorithm>
#include <utility>

namespace Chestnutcove {

namespace {

constexpr double MillisecondsPerSecond = 1000;

/** @p values must not be empty. */
double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

PrefillRateEstimator::PrefillRateEstimator(PrefillRateOptions options)
    : options_(options)
{
}

void PrefillRateEstimator::record(double tokens, Duration duration)
{
    samples_.push_back({tokens, toSeconds(duration) * MillisecondsPerSecond});
    if (samples_.size() > options_.maxSamples) {
        samples_.pop_front();
    }
}

std::optional<double> PrefillRateEstimator::rate() const
{
    if (samples_.size() < options_.minSamples) {
        return std::nullopt;
    }
    std::vector<Sample> sorted(samples_.begin(), samples_.end());
    std::sort(sorted.begin(), sorted.end(), [](const Sample &left, const Sample &right) { return left.tokens < right.tokens; });
    const auto medianSample = [](auto first, auto last) {
        std::vector<double> tokens;
        std::vector<double> milliseconds;
        for (auto it = first; it != last; ++it) {
            tokens.push_back(it->tokens);
            milliseconds.push_back(it->milliseconds);
        }
        return Sample{medianOf(std::move(tokens)), medianOf(std::move(milliseconds))};
    };
    const auto third = static_cast<std::ptrdiff_t>(sorted.size() / 3);
    const Sample small = medianSample(sorted.begin(), sorted.begin() + third);
    const Sample large = medianSample(sorted.end() - third, sorted.end());
    if (large.tokens < options_.minSpread * small.tokens || large.milliseconds <= small.milliseconds) {
        return std::nullopt;
    }
    return (large.tokens - small.tokens) / (large.milliseconds - small.milliseconds);
}

std::optional<double> medianRate(std::vector<double> rates)
{
    return rates.empty() ? std::nullopt : std::optional(medianOf(std::move(rates)));
}

}
