/**
 * Structured log: one JSON line per event by log4cxx, with typed fields. Keys, secrets and prompts must never be passed to it.
 */
#pragma once

#include <initializer_list>
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

using LogField = std::pair<std::string_view, std::string>;

class Log
{
public:
    /** Sets up the process's log on standard error. @param process goes into each line. */
    Log(const std::string &process, LogLevel threshold);

    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const;
    void debug(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view event, std::initializer_list<LogField> fields = {}) const;

private:
    std::string process_;
    LogLevel threshold_;
};

}
