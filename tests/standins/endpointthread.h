/**
 * Runs the event loop of stand-ins for endpoints in a thread of its own.
 */
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <thread>

namespace Chestnutcove {

class EndpointThread
{
public:
    EndpointThread()
        : thread_([this] { context_.run(); })
    {
    }

    ~EndpointThread()
    {
        stop();
    }

    EndpointThread(const EndpointThread &) = delete;
    EndpointThread &operator=(const EndpointThread &) = delete;

    asio::io_context &context()
    {
        return context_;
    }

    /** No handler runs after this, so that stand-ins may be destroyed before the thread. */
    void stop()
    {
        context_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(context_);
    std::jthread thread_;
};

}
