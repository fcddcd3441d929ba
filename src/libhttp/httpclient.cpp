#include "httpclient.h"

#include "text.h"

#include <asio/post.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace Chestnutcove {

namespace {

constexpr long ConnectTimeoutMs = 1000;
/** All calls get new connections for this long after an open one was found silent. */
constexpr std::chrono::seconds FreshConnectionPeriod{2};
constexpr int PollTimeoutMs = 1000;
constexpr int FirstSuccessCode = 200;
constexpr int LastSuccessCode = 299;
constexpr std::size_t MaxHeadBytes = std::size_t{64} * 1024;
constexpr std::string_view StartOfStatusLine = "HTTP/";

/** Returned by a callback instead of the number of bytes that it has taken. */
constexpr std::size_t AbortTransfer = 0;

struct Transfer
{
    HttpCall call;
    HttpClient::DataHandler onData;
    HttpClient::DoneHandler onDone;
    asio::any_io_executor executor;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string body;
    HttpHeaders responseHeaders;
    /** Of all heads of the response. */
    std::size_t headBytes = 0;
    /** Whether the empty line after the response's head was received; libcurl reports success without it. */
    bool isHeadComplete = false;
};

/** libcurl's header callback: called for each line of the response's head. */
std::size_t onHeaderLine(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::string_view line(data, size * count);
    transfer->headBytes += line.size();
    if (transfer->headBytes > MaxHeadBytes) {
        return AbortTransfer;
    }
    if (line.starts_with(StartOfStatusLine)) {
        // Interim responses have a head each.
        transfer->responseHeaders.clear();
        transfer->isHeadComplete = false;
        return size * count;
    }
    transfer->isHeadComplete = transfer->isHeadComplete || trimmed(line).empty();
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        transfer->responseHeaders.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    return size * count;
}

/** libcurl's write callback. */
std::size_t onBodyData(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::size_t bytes = size * count;
    long code = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &code);
    const bool isSuccess = code >= FirstSuccessCode && code <= LastSuccessCode;
    if (transfer->onData && isSuccess) {
        asio::post(transfer->executor,
                   [handler = transfer->onData, text = std::string(data, bytes)]() mutable { handler(std::move(text)); });
        return bytes;
    }
    if (transfer->body.size() + bytes > transfer->call.maxResponseBytes) {
        return AbortTransfer;
    }
    transfer->body.append(data, bytes);
    return bytes;
}

/** Unavailable means that no byte of the request was sent, so that the caller may safely retry. */
absl::Status toStatus(CURLcode code, const Transfer &transfer)
{
    if (code == CURLE_OK) {
        return transfer.isHeadComplete ? absl::OkStatus() : absl::UnknownError("the response ends inside its head");
    }
    curl_off_t sent = 0;
    long requestBytes = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    curl_easy_getinfo(transfer.easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    const std::string text = curl_easy_strerror(code);
    if (requestBytes == 0 && sent == 0) {
        return absl::UnavailableError(text);
    }
    return code == CURLE_OPERATION_TIMEDOUT ? absl::DeadlineExceededError(text) : absl::UnknownError(text);
}

}

std::optional<std::string_view> HttpResult::headerValue(std::string_view name) const
{
    const auto it
        = std::find_if(headers.begin(), headers.end(), [name](const auto &header) { return equalIgnoringCase(header.first, name); });
    return it == headers.end() ? std::nullopt : std::optional<std::string_view>(it->second);
}

class HttpClient::Impl
{
public:
    Impl(asio::any_io_executor executor, std::chrono::seconds maxConnectionAge)
        : executor_(std::move(executor))
        , maxConnectionAge_(maxConnectionAge)
        , multi_(curl_multi_init())
    {
        thread_ = std::thread([this] { runTransfers(); });
    }

    ~Impl()
    {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        thread_.join();
        for (auto &[id, transfer] : activeTransfers_) {
            curl_multi_remove_handle(multi_, transfer->easy);
            freeHandles(*transfer);
        }
        curl_multi_cleanup(multi_);
    }

    CallId queueCall(HttpCall call, DataHandler onData, DoneHandler onDone)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->onData = std::move(onData);
        transfer->onDone = std::move(onDone);
        transfer->executor = executor_;
        const CallId id = ++lastId_;
        {
            const std::lock_guard lock(mutex_);
            queuedCalls_.emplace_back(id, std::move(transfer));
        }
        curl_multi_wakeup(multi_);
        return id;
    }

    void cancel(CallId id)
    {
        {
            const std::lock_guard lock(mutex_);
            queuedCancels_.push_back(id);
        }
        curl_multi_wakeup(multi_);
    }

private:
    void runTransfers()
    {
        while (!stopping_) {
            processQueuedCommands();
            int running = 0;
            curl_multi_perform(multi_, &running);
            completeTransfers();
            curl_multi_poll(multi_, nullptr, 0, PollTimeoutMs, nullptr);
        }
    }

    void processQueuedCommands()
    {
        std::vector<std::pair<CallId, std::unique_ptr<Transfer>>> added;
        std::vector<CallId> cancelled;
        {
            const std::lock_guard lock(mutex_);
            added.swap(queuedCalls_);
            cancelled.swap(queuedCancels_);
        }
        for (auto &[id, transfer] : added) {
            startTransfer(id, std::move(transfer));
        }
        for (const CallId id : cancelled) {
            const auto it = activeTransfers_.find(id);
            if (it == activeTransfers_.end()) {
                continue;
            }
            curl_multi_remove_handle(multi_, it->second->easy);
            postResult(*it->second, absl::CancelledError("cancelled by the caller"), 0);
            freeHandles(*it->second);
            activeTransfers_.erase(it);
        }
    }

    void startTransfer(CallId id, std::unique_ptr<Transfer> transfer)
    {
        CURL *easy = curl_easy_init();
        transfer->easy = easy;
        const HttpCall &call = transfer->call;
        for (const auto &[name, value] : call.headers) {
            transfer->headers = curl_slist_append(transfer->headers, (name + ": " + value).c_str());
        }
        // Without this libcurl waits for "100 Continue" before it sends a large body.
        transfer->headers = curl_slist_append(transfer->headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
        const bool isFresh = call.freshConnection || call.atMostOnce || hasFoundSilenceRecently();
        curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(oldestUsableConnection().count()));
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, isFresh ? 1L : 0L);
        if (call.silenceTimeout.count() > 0) {
            curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
            const auto seconds = std::chrono::ceil<std::chrono::seconds>(call.silenceTimeout);
            curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, static_cast<long>(seconds.count()));
        }
        if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeaderLine);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBodyData);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, reinterpret_cast<char *>(id)); // NOLINT(performance-no-int-to-ptr)
        curl_multi_add_handle(multi_, easy);
        activeTransfers_.emplace(id, std::move(transfer));
    }

    /** Notes that an open connection took a call and gave no byte back, as happens when the way to the server is cut without a reset. */
    void noteSilence(const Transfer &transfer, CURLcode result)
    {
        long newConnections = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_NUM_CONNECTS, &newConnections);
        if (result == CURLE_OPERATION_TIMEDOUT && newConnections == 0 && transfer.headBytes == 0) {
            silenceFoundAt_ = std::chrono::steady_clock::now();
        }
    }

    bool hasFoundSilenceRecently() const
    {
        return silenceFoundAt_ && std::chrono::steady_clock::now() - *silenceFoundAt_ < FreshConnectionPeriod;
    }

    /** Connections that were open when one was found silent aren't used again, since the others may be silent too. */
    std::chrono::seconds oldestUsableConnection() const
    {
        if (!silenceFoundAt_) {
            return maxConnectionAge_;
        }
        // libcurl compares whole seconds, and takes zero for no limit.
        const auto sinceThen = std::chrono::floor<std::chrono::seconds>(std::chrono::steady_clock::now() - *silenceFoundAt_);
        return std::clamp(sinceThen - std::chrono::seconds(1), std::chrono::seconds(1), maxConnectionAge_);
    }

    void completeTransfers()
    {
        int messagesLeft = 0;
        while (CURLMsg *message = curl_multi_info_read(multi_, &messagesLeft)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            char *privateData = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &privateData);
            const auto it = activeTransfers_.find(reinterpret_cast<CallId>(privateData));
            long code = 0;
            curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &code);
            const CURLcode result = message->data.result;
            noteSilence(*it->second, result);
            curl_multi_remove_handle(multi_, message->easy_handle);
            const int knownCode = it->second->isHeadComplete ? static_cast<int>(code) : 0;
            postResult(*it->second, toStatus(result, *it->second), knownCode);
            freeHandles(*it->second);
            activeTransfers_.erase(it);
        }
    }

    static void postResult(Transfer &transfer, absl::Status status, int code)
    {
        const char *contentType = nullptr;
        curl_easy_getinfo(transfer.easy, CURLINFO_CONTENT_TYPE, &contentType);
        HttpResult result{std::move(status),
                          code,
                          contentType == nullptr ? "" : contentType,
                          std::move(transfer.body),
                          std::move(transfer.responseHeaders)};
        asio::post(transfer.executor,
                   [handler = std::move(transfer.onDone), result = std::move(result)]() mutable { handler(std::move(result)); });
    }

    static void freeHandles(Transfer &transfer)
    {
        curl_slist_free_all(transfer.headers);
        curl_easy_cleanup(transfer.easy);
    }

    asio::any_io_executor executor_;
    std::chrono::seconds maxConnectionAge_;
    CURLM *multi_;
    std::atomic<bool> stopping_ = false;
    std::atomic<CallId> lastId_ = 0;
    std::mutex mutex_;
    /** Guarded by mutex_. */
    std::vector<std::pair<CallId, std::unique_ptr<Transfer>>> queuedCalls_;
    /** Guarded by mutex_. */
    std::vector<CallId> queuedCancels_;
    /** Used only by thread_. */
    std::map<CallId, std::unique_ptr<Transfer>> activeTransfers_;
    /** When an open connection was found silent last. Used only by thread_. */
    std::optional<std::chrono::steady_clock::time_point> silenceFoundAt_;
    std::thread thread_;
};

HttpClient::HttpClient(asio::any_io_executor executor, std::chrono::seconds maxConnectionAge)
    : impl_(std::make_unique<Impl>(std::move(executor), maxConnectionAge))
{
}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::send(HttpCall call, DoneHandler onDone)
{
    return impl_->queueCall(std::move(call), nullptr, std::move(onDone));
}

HttpClient::CallId HttpClient::stream(HttpCall call, DataHandler onData, DoneHandler onDone)
{
    return impl_->queueCall(std::move(call), std::move(onData), std::move(onDone));
}

void HttpClient::cancel(CallId id)
{
    impl_->cancel(id);
}

}
