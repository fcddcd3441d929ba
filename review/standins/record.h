/**
 * The record of a run: a line for each thing that was sent, answered or run, with the time in milliseconds since the start.
 */
#pragma once

#include "http.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>

namespace Review {

class Record
{
public:
    explicit Record(const std::string &file)
        : stream_(file)
    {
    }

    std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - startedAt_).count();
    }

    template<typename... Parts>
    void line(const Parts &...parts)
    {
        std::ostringstream text;
        text << nowMs();
        ((text << ' ' << parts), ...);
        const std::lock_guard lock(mutex_);
        stream_ << text.str() << std::endl;
    }

    /** A line that is also printed. */
    template<typename... Parts>
    void result(const Parts &...parts)
    {
        line(parts...);
        ((std::cout << parts << ' '), ...);
        std::cout << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream stream_;
    Clock::time_point startedAt_ = Clock::now();
};

}
