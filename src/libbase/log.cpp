#include "log.h"

#include "suspendclock.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <poll.h>
#include <unistd.h>

#include <memory>
#include <utility>

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

/** Writes lines to a descriptor without ever waiting for its reader: a line that doesn't fit is left out and counted. */
class DescriptorAppender : public log4cxx::AppenderSkeleton
{
public:
    explicit DescriptorAppender(int descriptor)
        : descriptor_(descriptor)
    {
    }

    void close() override
    {
    }

    bool requiresLayout() const override
    {
        return false;
    }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        log4cxx::LogString text;
        layout_.format(text, event, pool);
        std::string line;
        log4cxx::helpers::Transcoder::encode(text, line);
        if (lost_ > 0) {
            const std::string note = "{\"message\":\"log reader too slow\",\"lines\":" + std::to_string(lost_) + "}\n";
            lost_ = send(note) ? 0 : lost_;
        }
        lost_ += send(line) ? 0 : 1;
    }

private:
    /** A pipe that is writable takes PIPE_BUF bytes at once. */
    bool send(const std::string &line) const
    {
        pollfd state{descriptor_, POLLOUT, 0};
        const bool writable = poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0 && (state.revents & (POLLERR | POLLHUP)) == 0;
        return writable && ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    }

    int descriptor_;
    log4cxx::JSONLayout layout_;
    /** Lines left out since the last one that was written. */
    std::uint64_t lost_ = 0;
};

}

Log::Log(const std::string &process, LogLevel threshold)
    : Log(process, LogOptions{threshold, LogTarget::StandardError, 0})
{
}

Log::Log(const std::string &process, LogOptions options)
    : process_(process)
    , options_(options)
{
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    const int descriptor = options.target == LogTarget::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
    root->addAppender(std::make_shared<DescriptorAppender>(descriptor));
    root->setLevel(toLevel(options.threshold));
}

bool Log::mayWrite(std::string_view event, std::uint64_t &dropped) const
{
    if (options_.linesPerSecond == 0) {
        return true;
    }
    const std::lock_guard lock(mutex_);
    auto it = volumes_.find(event);
    if (it == volumes_.end()) {
        it = volumes_.emplace(std::string(event), Volume{}).first;
    }
    Volume &volume = it->second;
    const TimePoint now = suspendAwareNow();
    if (now - volume.second >= std::chrono::seconds(1)) {
        volume.second = now;
        volume.written = 0;
    }
    if (volume.written >= options_.linesPerSecond) {
        ++volume.dropped;
        return false;
    }
    ++volume.written;
    dropped = std::exchange(volume.dropped, 0);
    return true;
}

void Log::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const
{
    std::uint64_t dropped = 0;
    if (level < options_.threshold || !mayWrite(event, dropped)) {
        return;
    }
    if (dropped > 0) {
        emit(LogLevel::Warning, "log lines left out", {{"kind", std::string(event)}, {"lines", std::to_string(dropped)}});
    }
    emit(level, event, fields);
}

void Log::emit(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const
{
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
