/**
 * Sends the requests of a trace over HTTP to running gateways or an engine and prints a JSON summary.
 */
#include "tracefile.h"

#include <CLI/CLI.hpp>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <list>
#include <map>

namespace {

using namespace Chestnutcove;
using Clock = std::chrono::steady_clock;

struct LoadOptions
{
    std::vector<std::string> urls;
    std::string model = "chat";
    /** API keys by customer. */
    std::map<std::string, std::string> keys;
    /** Factor by which the trace's times are shortened. */
    double speed = 1;
};

struct Call
{
    const TraceArrival *arrival = nullptr;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string body;
    Clock::time_point started;
    Clock::time_point firstToken;
    Clock::time_point lastToken;
    std::uint64_t tokens = 0;
    /** Received text after the last complete event. */
    std::string partialEvent;
    /** Whether the end mark of the stream was received. */
    bool hasEnded = false;
    std::string error;
};

struct Results
{
    std::vector<double> firstToken;
    std::vector<double> betweenTokens;
    /** Number of requests by error code, or "served". */
    std::map<std::string, std::uint64_t> outcomes;
    /** Number of requests and of served requests by customer. */
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> customers;
    std::uint64_t tokens = 0;
    /** Requests whose first token came within the trace's target. */
    std::uint64_t goodRequests = 0;
    /** Responses that ended without an end mark or an error code. */
    std::uint64_t incomplete = 0;
};

/** Counts the tokens in the stream events received so far. */
std::size_t onBodyReceived(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *call = static_cast<Call *>(context);
    const std::size_t bytes = size * count;
    const auto now = Clock::now();
    call->partialEvent.append(data, bytes);
    std::size_t end = 0;
    while ((end = call->partialEvent.find("\n\n")) != std::string::npos) {
        const std::string_view event = std::string_view(call->partialEvent).substr(0, end);
        if (event.find("\"content\"") != std::string_view::npos) {
            if (call->tokens++ == 0) {
                call->firstToken = now;
            }
            call->lastToken = now;
        }
        call->hasEnded = call->hasEnded || event == "data: [DONE]";
        call->partialEvent.erase(0, end + 2);
    }
    return bytes;
}

std::string promptOf(const TraceArrival &arrival)
{
    std::string text = "group " + std::to_string(arrival.prefixGroup) + " ";
    text.resize(std::max<std::size_t>(text.size(), arrival.sharedTokens * 4), 'p');
    text += " request at " + std::to_string(arrival.at) + " ";
    text.resize(std::max<std::size_t>(text.size(), arrival.promptTokens * 4), 'x');
    return text;
}

class LoadRun
{
public:
    LoadRun(const Trace &trace, LoadOptions options)
        : trace_(trace)
        , options_(std::move(options))
        , multi_(curl_multi_init())
    {
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 20000L);
    }

    ~LoadRun()
    {
        curl_multi_cleanup(multi_);
    }

    nlohmann::json run()
    {
        const auto start = Clock::now();
        std::size_t next = 0;
        while (next < trace_.arrivals.size() || !calls_.empty()) {
            while (next < trace_.arrivals.size() && elapsed(start) >= trace_.arrivals[next].at / options_.speed) {
                startCall(trace_.arrivals[next], next);
                ++next;
            }
            int running = 0;
            curl_multi_perform(multi_, &running);
            finishCalls();
            curl_multi_poll(multi_, nullptr, 0, 1, nullptr);
        }
        return summary(elapsed(start));
    }

private:
    static double elapsed(Clock::time_point since)
    {
        return std::chrono::duration<double>(Clock::now() - since).count();
    }

    void startCall(const TraceArrival &arrival, std::size_t index)
    {
        constexpr long TimeoutMs = 120000;
        calls_.emplace_back();
        Call &call = calls_.back();
        call.arrival = &arrival;
        call.easy = curl_easy_init();
        call.body = nlohmann::json{{"model", options_.model},
                                   {"stream", true},
                                   {"max_tokens", arrival.outputTokens},
                                   {"test_tokens", arrival.outputTokens},
                                   {"messages", {{{"role", "user"}, {"content", promptOf(arrival)}}}}}
                        .dump();
        call.headers = curl_slist_append(nullptr, "Expect:");
        const auto key = options_.keys.find(arrival.customer);
        if (key != options_.keys.end()) {
            call.headers = curl_slist_append(call.headers, ("Authorization: Bearer " + key->second).c_str());
        }
        const std::string url = options_.urls[index % options_.urls.size()] + "/v1/chat/completions";
        curl_easy_setopt(call.easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(call.easy, CURLOPT_PROXY, "");
        curl_easy_setopt(call.easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(call.easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(call.easy, CURLOPT_TIMEOUT_MS, TimeoutMs);
        curl_easy_setopt(call.easy, CURLOPT_HTTPHEADER, call.headers);
        curl_easy_setopt(call.easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(call.easy, CURLOPT_POSTFIELDS, call.body.c_str());
        curl_easy_setopt(call.easy, CURLOPT_WRITEFUNCTION, onBodyReceived);
        curl_easy_setopt(call.easy, CURLOPT_WRITEDATA, &call);
        curl_easy_setopt(call.easy, CURLOPT_PRIVATE, &call);
        call.started = Clock::now();
        curl_multi_add_handle(multi_, call.easy);
    }

    void finishCalls()
    {
        int remaining = 0;
        while (CURLMsg *message = curl_multi_info_read(multi_, &remaining)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            char *data = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &data);
            Call &call = *reinterpret_cast<Call *>(data);
            recordResult(call, message->data.result);
            curl_multi_remove_handle(multi_, call.easy);
            curl_easy_cleanup(call.easy);
            curl_slist_free_all(call.headers);
            calls_.remove_if([&call](const Call &other) { return &other == &call; });
        }
    }

    void recordResult(const Call &call, CURLcode result)
    {
        constexpr long CodeOk = 200;
        long code = 0;
        curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &code);
        auto &[requests, served] = results_.customers[call.arrival->customer];
        ++requests;
        if (result != CURLE_OK || code != CodeOk || !call.hasEnded) {
            const auto json = nlohmann::json::parse(call.partialEvent, nullptr, false);
            const bool hasErrorCode = json.is_object() && json.contains("error") && json["error"].contains("code");
            ++results_.outcomes[hasErrorCode ? json["error"]["code"].get<std::string>() : "no whole answer"];
            results_.incomplete += hasErrorCode ? 0 : 1;
            return;
        }
        ++served;
        ++results_.outcomes["served"];
        results_.tokens += call.tokens;
        const double first = std::chrono::duration<double>(call.firstToken - call.started).count();
        results_.firstToken.push_back(first);
        results_.goodRequests += first <= trace_.firstTokenTarget ? 1 : 0;
        if (call.tokens > 1) {
            const double span = std::chrono::duration<double>(call.lastToken - call.firstToken).count();
            results_.betweenTokens.push_back(span / static_cast<double>(call.tokens - 1));
        }
    }

    static nlohmann::json quantiles(std::vector<double> &values)
    {
        std::sort(values.begin(), values.end());
        const auto quantile = [&values](double fraction) {
            return values.empty() ? 0.0 : values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
        };
        return {{"p50", quantile(0.5)}, {"p95", quantile(0.95)}, {"p99", quantile(0.99)}};
    }

    nlohmann::json summary(double seconds)
    {
        nlohmann::json customers = nlohmann::json::object();
        for (const auto &[name, counts] : results_.customers) {
            customers[name] = {{"requests", counts.first}, {"served", counts.second}};
        }
        return {{"trace", trace_.name},
                {"seconds", seconds},
                {"requestsPerSecond", static_cast<double>(trace_.arrivals.size()) / seconds},
                {"tokensPerSecond", static_cast<double>(results_.tokens) / seconds},
                {"goodput", static_cast<double>(results_.goodRequests) / seconds},
                {"firstTokenSeconds", quantiles(results_.firstToken)},
                {"betweenTokensSeconds", quantiles(results_.betweenTokens)},
                {"outcomes", results_.outcomes},
                {"cut", results_.incomplete},
                {"customers", std::move(customers)}};
    }

    const Trace &trace_;
    LoadOptions options_;
    CURLM *multi_;
    std::list<Call> calls_;
    Results results_;
};

}

int main(int argc, char **argv)
{
    CLI::App app("Plays a trace over HTTP and prints a JSON summary", "chestnutcove-load");
    std::string path;
    std::vector<std::string> keys;
    LoadOptions options;
    app.add_option("--trace", path, "Trace file")->required();
    app.add_option("--url", options.urls, "Base URL of a gateway or an engine; may be given several times")->required();
    app.add_option("--key", keys, "CUSTOMER=KEY; may be given several times");
    app.add_option("--model", options.model, "Model to ask for");
    app.add_option("--speed", options.speed, "Play the trace so many times faster")->check(CLI::PositiveNumber);
    CLI11_PARSE(app, argc, argv);
    for (const std::string &key : keys) {
        options.keys[key.substr(0, key.find('='))] = key.substr(key.find('=') + 1);
    }
    const auto trace = readTrace(path);
    if (!trace.ok()) {
        std::cerr << trace.status().message() << '\n';
        return 2;
    }
    std::cout << LoadRun(*trace, options).run().dump(2) << '\n';
    return 0;
}
