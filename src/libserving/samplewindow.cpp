#include "samplewindow.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Chestnutcove {

SampleWindow::SampleWindow(std::size_t maxSamples, Duration maxAge)
    : maxSamples_(maxSamples)
    , maxAge_(maxAge)
{
}

void SampleWindow::add(double value, TimePoint now)
{
    samples_.push_back({value, now});
    while (samples_.size() > maxSamples_ || now - samples_.front().takenAt > maxAge_) {
        samples_.pop_front();
    }
}

double SampleWindow::quantile(double probability) const
{
    std::vector<double> values;
    values.reserve(samples_.size());
    for (const Sample &sample : samples_) {
        values.push_back(sample.value);
    }
    const auto index = static_cast<std::ptrdiff_t>(std::floor(probability * static_cast<double>(values.size() - 1)));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

}
