/**
 * Sends usage reports in the project's own HTTP/JSON format.
 */
#pragma once

#include "httpclient.h"
#include "usagereport.h"

#include <functional>
#include <string>

namespace Chestnutcove {

class JsonUsageSink
{
public:
    /** @param url base URL of the platform without a trailing slash. */
    JsonUsageSink(HttpClient &client, std::string url);

    void report(const UsageReport &report, std::chrono::milliseconds timeout, std::function<void(bool)> onDone);

private:
    HttpClient &client_;
    std::string url_;
};

}
