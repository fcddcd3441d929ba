#include "log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <memory>
#include <vector>

namespace Chestnutcove {

namespace {

log4cxx::LevelPtr toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

}

Log::Log(const std::string &process, LogLevel threshold)
    : process_(process)
    , threshold_(threshold)
{
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    root->addAppender(appender);
    root->setLevel(toLevel(threshold));
}

void Log::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const
{
    if (level < threshold_) {
        return;
    }
    log4cxx::MDC::put("process", process_);
    for (const auto &[name, value] : fields) {
        log4cxx::MDC::put(std::string(name), value);
    }
    LOG4CXX_LOG(log4cxx::Logger::getRootLogger(), toLevel(level), std::string(event));
    for (const auto &[name, value] : fields) {
        log4cxx::MDC::remove(std::string(name));
    }
}

void Log::debug(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Debug, event, fields);
}

void Log::info(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Info, event, fields);
}

void Log::warning(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Warning, event, fields);
}

void Log::error(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Error, event, fields);
}

}
