/**
 * Learns how fast the engines of a service prefill, from the durations of calls to engines that had nothing else to do as far as this
 * gateway knows. The rate is the slope of Tukey's resistant line through duration and tokens (Exploratory Data Analysis, 1977): medians of
 * the smallest and the largest third of the prompts. So it holds apart what each call takes besides, and one call in six may be wrong
 * about what the engine had cached.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace Chestnutcove {

struct PrefillRateOptions
{
    /** Calls that the estimate is made of: the latest ones, and at least as many. */
    std::size_t maxSamples = 300;
    std::size_t minSamples = 60;
    /** The largest prompts must be at least this many times as large as the smallest ones. */
    double minSpread = 1.5;
};

class PrefillRateEstimator
{
public:
    explicit PrefillRateEstimator(PrefillRateOptions options);

    /** @param tokens prompt tokens that the engine did not have in its cache. */
    void record(double tokens, Duration duration);
    /** Tokens per millisecond; empty until it is known. */
    std::optional<double> rate() const;

private:
    struct Sample
    {
        double tokens = 0;
        double milliseconds = 0;
    };

    PrefillRateOptions options_;
    /** Oldest first. */
    std::deque<Sample> samples_;
};

/** The rate of the fleet from those of its gateways: their median, or empty if none knows one. */
std::optional<double> medianRate(std::vector<double> rates);

}
