/**
 * Structured log: one JSON line per event by log4cxx, with typed fields. Its volume is bounded for each kind of event, and a reader that
 * doesn't keep up loses lines instead of stopping the process; both are counted and told. Keys, secrets and prompts must never be passed to
 * it.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace Chestnutcove {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

enum class LogTarget {
    StandardError,
    StandardOutput,
};

using LogField = std::pair<std::string_view, std::string>;

struct LogOptions
{
    LogLevel threshold = LogLevel::Info;
    LogTarget target = LogTarget::StandardError;
    /** Lines a second of one kind of event; further ones are counted. 0 for no limit. */
    unsigned linesPerSecond = 0;
};

class Log
{
public:
    /** Sets up the process's log on standard error. @param process goes into each line. */
    Log(const std::string &process, LogLevel threshold);
    Log(const std::string &process, LogOptions options);

    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const;
    void debug(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view event, std::initializer_list<LogField> fields = {}) const;

private:
    /** Lines of one kind in the current second. */
    struct Volume
    {
        TimePoint second{};
        unsigned written = 0;
        std::uint64_t dropped = 0;
    };

    /** Counts the line. @return whether it may be written; @p dropped gets the number of lines left out before it. */
    bool mayWrite(std::string_view event, std::uint64_t &dropped) const;
    void emit(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const;

    std::string process_;
    LogOptions options_;
    mutable std::mutex mutex_;
    /** Guarded by mutex_. */
    mutable std::map<std::string, Volume, std::less<>> volumes_;
};

}
