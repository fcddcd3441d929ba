#include "engine.h"

#include "promptblocks.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>

namespace Chestnutcove {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds StepInterval{1};
constexpr std::size_t MaxEvents = 8192;

void respondJson(const HttpReply &reply, int status, const nlohmann::json &body)
{
    reply.respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

Clock::duration seconds(double value)
{
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(value));
}

}

std::string answerToken(const std::string &prompt, std::uint64_t index)
{
    return absl::StrFormat("%04x ", XXH3_64bits_withSeed(prompt.data(), prompt.size(), index) & 0xFFFFU);
}

EngineStandIn::EngineStandIn(asio::io_context &context, EngineOptions options)
    : context_(context)
    , options_(std::move(options))
    , timer_(context)
{
    step();
}

void EngineStandIn::handleRequest(const HttpRequest &request, const HttpReply &reply)
{
    sawKey_ = sawKey_ || request.headerValue("Authorization").has_value();
    const auto body = nlohmann::json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    if (request.path == "/admin/faults") {
        faults_.update(body);
        options_.decodeTokensPerSecond = body.value("decodeTokensPerSecond", options_.decodeTokensPerSecond);
        respondJson(reply, 200, nlohmann::json::object());
        return;
    }
    if (request.path == "/admin/state") {
        respondJson(
            reply, 200, {{"orders", orders_}, {"runs", runs_}, {"role", options_.role}, {"cancelled", cancelled_}, {"sawKey", sawKey_}});
        return;
    }
    if (faults_.silent) {
        return;
    }
    if (faults_.outage) {
        respondJson(reply, 503, {{"error", "outage"}});
    } else if (request.path == "/v1/chat/completions") {
        enqueueChat(request, reply, body);
    } else if (request.path == "/load") {
        respondJson(
            reply, 200, {{"running", running_.size()}, {"waiting", waiting_.size()}, {"role", options_.role}, {"model", options_.model}});
    } else if (request.path == "/orders") {
        applyOrder(reply, body);
    } else if (request.path == "/cache/events") {
        sendCacheEvents(request, reply);
    } else if (request.path == "/cache/blocks") {
        nlohmann::json blocks = nlohmann::json::array();
        for (const std::uint64_t block : cacheOrder_) {
            blocks.push_back(absl::StrFormat("%016x", block));
        }
        respondJson(reply, 200, {{"next", firstEvent_ + events_.size()}, {"blocks", std::move(blocks)}});
    } else {
        respondJson(reply, 404, {{"error", "no such call"}});
    }
}

void EngineStandIn::enqueueChat(const HttpRequest &request, const HttpReply &reply, const nlohmann::json &body)
{
    if (!body.is_object() || !body.contains("messages")) {
        respondJson(reply, 400, {{"error", {{"message", "bad request"}, {"code", "bad_request"}}}});
        return;
    }
    Sequence sequence{++lastSequence_, request.connection, reply};
    std::string partialAnswer;
    for (const auto &message : body["messages"]) {
        const std::string content = message.value("content", "");
        if (body.value("continue_final_message", false) && &message == &body["messages"].back()) {
            partialAnswer = content;
        } else {
            sequence.prompt += message.value("role", "") + "\n" + content + "\n";
        }
    }
    sequence.firstIndex = static_cast<std::uint64_t>(std::count(partialAnswer.begin(), partialAnswer.end(), ' '));
    sequence.priority = body.value("priority", 0);
    sequence.stream = body.value("stream", false);
    sequence.tokensToGenerate
        = std::min<std::uint64_t>(body.value("max_tokens", options_.defaultOutputTokens),
                                  body.value("test_tokens", options_.defaultOutputTokens)
                                      - std::min(sequence.firstIndex, body.value("test_tokens", options_.defaultOutputTokens)));
    sequence.blocks = promptBlocks(sequence.prompt);
    sequence.promptTokens = estimateTokens(sequence.prompt.size() + partialAnswer.size());
    ++runs_[std::string(request.headerValue("X-Request-Id").value_or(""))];
    // The queue is ordered by priority, then by arrival.
    const auto position
        = std::find_if(waiting_.begin(), waiting_.end(), [&](const Sequence &other) { return other.priority > sequence.priority; });
    waiting_.insert(position, std::move(sequence));
}

void EngineStandIn::applyOrder(const HttpReply &reply, const nlohmann::json &body)
{
    const std::uint64_t fencingToken = body.value("fencing", std::uint64_t{0});
    if (options_.checksFencing && fencingToken < highestFencingToken_) {
        respondJson(reply, 409, {{"error", "old fencing token"}});
        return;
    }
    highestFencingToken_ = std::max(highestFencingToken_, fencingToken);
    orders_.push_back(body);
    if (body.value("action", "") == "role") {
        options_.role = body.value("argument", options_.role);
        roleChangeEnd_ = Clock::now() + options_.roleChangeTime;
    }
    respondJson(reply, 200, nlohmann::json::object());
}

void EngineStandIn::sendCacheEvents(const HttpRequest &request, const HttpReply &reply) const
{
    const std::uint64_t after = std::stoull(request.queryParameter("after").value_or("0"));
    const std::uint64_t first = std::max(after, firstEvent_);
    nlohmann::json events = nlohmann::json::array();
    for (std::uint64_t i = first; i < firstEvent_ + events_.size(); ++i) {
        events.push_back(events_[i - firstEvent_]);
    }
    respondJson(reply, 200, {{"first", first}, {"events", std::move(events)}});
}

void EngineStandIn::onDisconnected(std::uint64_t connection)
{
    for (auto *list : {&waiting_, &running_}) {
        cancelled_ += std::erase_if(*list, [connection](const Sequence &sequence) { return sequence.connection == connection; });
    }
}

void EngineStandIn::step()
{
    const auto now = Clock::now();
    if (!faults_.silent && now >= roleChangeEnd_) {
        startSequences(now);
        for (Sequence &sequence : running_) {
            generateTokens(sequence, now);
        }
        std::erase_if(running_, [](const Sequence &sequence) { return sequence.generatedTokens >= sequence.tokensToGenerate; });
    }
    timer_.expires_after(StepInterval);
    timer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            step();
        }
    });
}

void EngineStandIn::startSequences(Clock::time_point now)
{
    while (!waiting_.empty() && running_.size() < options_.slots) {
        running_.splice(running_.end(), waiting_, waiting_.begin());
        Sequence &sequence = running_.back();
        std::size_t cached = 0;
        while (cached < sequence.blocks.size() && cache_.contains(sequence.blocks[cached])) {
            ++cached;
        }
        sequence.cachedTokens = cached * TokensPerBlock;
        const double uncached
            = static_cast<double>(sequence.promptTokens) - static_cast<double>(std::min(sequence.cachedTokens, sequence.promptTokens));
        prefillFreeAt_ = std::max(prefillFreeAt_, now) + seconds(uncached / options_.prefillTokensPerSecond);
        sequence.nextToken = prefillFreeAt_;
        storeBlocks(sequence.blocks);
    }
}

void EngineStandIn::generateTokens(Sequence &sequence, Clock::time_point now)
{
    if (!sequence.started && now >= sequence.nextToken && sequence.stream) {
        sequence.reply.beginStream(200, {{"Content-Type", "text/event-stream"}});
    }
    sequence.started = sequence.started || now >= sequence.nextToken;
    std::string chunk;
    while (sequence.generatedTokens < sequence.tokensToGenerate && now >= sequence.nextToken) {
        const std::string token = answerToken(sequence.prompt, sequence.firstIndex + sequence.generatedTokens);
        ++sequence.generatedTokens;
        sequence.text += token;
        sequence.nextToken += seconds(1 / options_.decodeTokensPerSecond);
        const bool last = sequence.generatedTokens == sequence.tokensToGenerate;
        const nlohmann::json choice{
            {"index", 0}, {"delta", {{"content", token}}}, {"finish_reason", last ? nlohmann::json("stop") : nlohmann::json()}};
        chunk += "data: " + nlohmann::json{{"choices", {choice}}}.dump() + "\n\n";
    }
    if (sequence.stream && !chunk.empty()) {
        sequence.reply.append(std::move(chunk));
    }
    if (sequence.generatedTokens >= sequence.tokensToGenerate) {
        finishSequence(sequence);
    }
}

void EngineStandIn::finishSequence(Sequence &sequence)
{
    const nlohmann::json usage{{"prompt_tokens", sequence.promptTokens},
                               {"completion_tokens", sequence.generatedTokens},
                               {"prompt_tokens_details", {{"cached_tokens", std::min(sequence.cachedTokens, sequence.promptTokens)}}}};
    if (sequence.stream) {
        sequence.reply.append("data: " + nlohmann::json{{"choices", nlohmann::json::array()}, {"usage", usage}}.dump()
                              + "\n\ndata: [DONE]\n\n");
        sequence.reply.finish();
        return;
    }
    const nlohmann::json choice{{"index", 0}, {"message", {{"role", "assistant"}, {"content", sequence.text}}}, {"finish_reason", "stop"}};
    respondJson(sequence.reply, 200, {{"choices", {choice}}, {"usage", usage}});
}

void EngineStandIn::storeBlocks(const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        const auto cached = cache_.find(block);
        if (cached != cache_.end()) {
            cacheOrder_.splice(cacheOrder_.end(), cacheOrder_, cached->second);
            continue;
        }
        cache_[block] = cacheOrder_.insert(cacheOrder_.end(), block);
        recordEvent("stored", block);
        if (cache_.size() > options_.cacheBlocks) {
            recordEvent("evicted", cacheOrder_.front());
            cache_.erase(cacheOrder_.front());
            cacheOrder_.pop_front();
        }
    }
}

void EngineStandIn::recordEvent(const char *kind, std::uint64_t block)
{
    events_.push_back({{"kind", kind}, {"block", absl::StrFormat("%016x", block)}});
    if (events_.size() > MaxEvents) {
        events_.pop_front();
        ++firstEvent_;
    }
}

}
