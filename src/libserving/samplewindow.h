/**
 * The latest samples of a measured figure, bounded in number and age, and the quantiles of them.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>
#include <deque>

namespace Chestnutcove {

class SampleWindow
{
public:
    SampleWindow(std::size_t maxSamples, Duration maxAge);

    /** Adds a sample and drops those that are too old or too many. */
    void add(double value, TimePoint now);
    std::size_t size() const;
    /** @param probability 0 to 1. The window must not be empty. */
    double quantile(double probability) const;

private:
    struct Sample
    {
        double value = 0;
        TimePoint takenAt{};
    };

    std::size_t maxSamples_;
    Duration maxAge_;
    /** Oldest first. */
    std::deque<Sample> samples_;
};

inline std::size_t SampleWindow::size() const
{
    return samples_.size();
}

}
