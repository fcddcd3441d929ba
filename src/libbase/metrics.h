/**
 * Counters, gauges and distributions of a process, written out in the Prometheus text format.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Chestnutcove {

class Counter
{
public:
    void add(std::uint64_t amount = 1);
    std::uint64_t value() const;

private:
    std::atomic<std::uint64_t> value_ = 0;
};

/** Estimates quantiles with the extended P-square algorithm of Boost.Accumulators (Raatikainen 1987). */
class Distribution
{
public:
    Distribution();
    ~Distribution();
    Distribution(const Distribution &) = delete;
    Distribution &operator=(const Distribution &) = delete;

    void add(double value);
    std::uint64_t count() const;
    double sum() const;
    /** @param probability one of 0.5, 0.95, 0.99. */
    double quantile(double probability) const;

private:
    class Impl;
    mutable std::mutex mutex_;
    std::unique_ptr<Impl> impl_;
};

class Metrics
{
public:
    /** The counter of that name; labels are part of it: requests{code="busy"}. It lives as long as this object. */
    Counter &counter(const std::string &name);
    Distribution &distribution(const std::string &name);
    /** Registers a value that is read when the text is written. */
    void gauge(const std::string &name, std::function<double()> read);

    std::string toPrometheusText() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<Counter>> counters_;
    std::map<std::string, std::unique_ptr<Distribution>> distributions_;
    std::map<std::string, std::function<double()>> gauges_;
};

inline void Counter::add(std::uint64_t amount)
{
    value_.fetch_add(amount, std::memory_order_relaxed);
}

inline std::uint64_t Counter::value() const
{
    return value_.load(std::memory_order_relaxed);
}

}
