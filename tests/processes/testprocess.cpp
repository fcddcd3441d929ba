#include "testprocess.h"

#include "link.h"

#include <curl/curl.h>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace Chestnutcove {

namespace {

std::size_t appendToString(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

void copyToStandardError(int descriptor)
{
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = read(descriptor, buffer.data(), buffer.size())) > 0) {
        std::cerr.write(buffer.data(), size);
    }
}

nlohmann::json newLinkKeys()
{
    const auto keys = generateLinkKeys();
    return {{"publicKey", keys->publicKey}, {"secretKey", keys->secretKey}};
}

}

TestProcess::TestProcess(const std::vector<std::string> &command)
{
    start(command);
}

TestProcess::TestProcess(const std::vector<std::string> &command, const std::string &variable, const std::string &value)
{
    setenv(variable.c_str(), value.c_str(), 1);
    start(command);
    unsetenv(variable.c_str());
}

void TestProcess::start(const std::vector<std::string> &command)
{
    std::array<int, 2> out{};
    if (pipe2(out.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create the output pipe");
    }
    std::vector<char *> arguments;
    for (const std::string &part : command) {
        arguments.push_back(const_cast<char *>(part.c_str())); // NOLINT
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, out[1], STDOUT_FILENO);
    const bool verbose = std::getenv("CHESTNUTCOVE_TEST_LOG") != nullptr;
    if (!verbose) {
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
    }
    // The process would keep listening on the ports of stand-ins that run in this one.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int result = posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(out[1]);
    if (result != 0) {
        throw std::runtime_error("cannot start " + command[0]);
    }
    std::string line;
    char character = 0;
    while (read(out[0], &character, 1) == 1 && character != '\n') {
        line += character;
    }
    output_ = out[0];
    ports_ = nlohmann::json::parse(line, nullptr, false);
    if (verbose) {
        outputCopier_ = std::jthread([descriptor = output_] { copyToStandardError(descriptor); });
    }
}

TestProcess::~TestProcess()
{
    kill();
    if (outputCopier_.joinable()) {
        outputCopier_.join();
    }
    if (output_ >= 0) {
        close(output_);
    }
}

void TestProcess::sendSignal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void TestProcess::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

int TestProcess::terminate()
{
    sendSignal(SIGTERM);
    for (int i = 0; i < 1500; ++i) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    kill();
    return -1;
}

bool TestProcess::isRunning() const
{
    siginfo_t state{};
    return pid_ > 0 && waitid(P_PID, static_cast<id_t>(pid_), &state, WEXITED | WNOHANG | WNOWAIT) == 0 && state.si_pid == 0;
}

std::size_t TestProcess::peakResidentBytes() const
{
    constexpr std::size_t BytesPerKilobyte = 1024;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    while (status >> word) {
        std::size_t kilobytes = 0;
        if (word == "VmHWM:" && status >> kilobytes) {
            return kilobytes * BytesPerKilobyte;
        }
    }
    return 0;
}

std::size_t TestProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::uint16_t TestProcess::port(const std::string &name) const
{
    return ports_.is_object() ? ports_.value(name, std::uint16_t{0}) : 0;
}

TestResponse sendRequest(const TestRequest &call)
{
    TestResponse answer;
    CURL *easy = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, "Expect:");
    if (!call.bearer.empty()) {
        headers = curl_slist_append(headers, ("Authorization: Bearer " + call.bearer).c_str());
    }
    for (const auto &[name, value] : call.headers) {
        headers = curl_slist_append(headers, (name + ": " + value).c_str());
    }
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeoutMs));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendToString);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.body);
    if (call.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    const CURLcode result = curl_easy_perform(easy);
    long code = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &code);
    answer.code = result == CURLE_OK ? static_cast<int>(code) : 0;
    answer.json = nlohmann::json::parse(answer.body, nullptr, false);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    return answer;
}

bool waitUntil(const std::function<bool()> &condition, int timeoutMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

Deployment::Deployment()
    : gatewayKeys_(newLinkKeys())
    , sidecarKeys_(newLinkKeys())
{
    std::string pattern = testing::TempDir() + "chestnutcove-XXXXXX";
    directory_ = mkdtemp(pattern.data());
}

Deployment::~Deployment()
{
    processes_.clear();
    std::filesystem::remove_all(directory_);
}

void Deployment::startPlatform()
{
    processes_["platform"] = std::make_unique<TestProcess>(std::vector<std::string>{STANDIN, "platform"});
}

void Deployment::startEngine(const std::string &name, const std::vector<std::string> &options)
{
    std::vector<std::string> command{STANDIN, "engine"};
    command.insert(command.end(), options.begin(), options.end());
    processes_[name] = std::make_unique<TestProcess>(command);
}

void Deployment::startService(const std::string &name, int delayMs)
{
    processes_[name] = std::make_unique<TestProcess>(std::vector<std::string>{STANDIN, "service", "--delay-ms", std::to_string(delayMs)});
}

std::string Deployment::writeSettings(const std::string &name, const nlohmann::json &settings)
{
    const std::string path = directory_ + "/" + name + ".json";
    std::ofstream(path) << settings.dump();
    return path;
}

void Deployment::startSidecar(const std::string &name, bool isEngine)
{
    // A restarted sidecar keeps its port, as it does when a supervisor restarts it.
    const std::uint16_t port = hasProcess(name + "-sidecar") ? process(name + "-sidecar").port("link") : 0;
    endProcess(name + "-sidecar");
    const nlohmann::json settings{{"name", name},
                                  {"dataCentre", "dc-1"},
                                  {"link",
                                   {{"listen", "127.0.0.1:" + std::to_string(port)},
                                    {"publicKey", sidecarKeys_["publicKey"]},
                                    {"secretKey", sidecarKeys_["secretKey"]},
                                    {"gatewayKey", gatewayKeys_["publicKey"]}}},
                                  {"endpoint",
                                   {{"kind", isEngine ? "engine" : "plain"},
                                    {"url", "http://127.0.0.1:" + std::to_string(process(name).port("port"))},
                                    {"probeInterval", "50 ms"}}},
                                  {"orderFreshness", "1 s"},
                                  {"gatewayTimeout", "2 s"}};
    processes_[name + "-sidecar"]
        = std::make_unique<TestProcess>(std::vector<std::string>{CHESTNUTCOVE, "sidecar", "--settings", writeSettings(name, settings)});
}

void Deployment::startGateway(const std::string &name)
{
    endProcess(name);
    const nlohmann::json settings{
        {"name", name},
        {"dataCentre", "dc-1"},
        {"callers", {{"listen", "127.0.0.1:0"}, {"maxBodyBytes", 100000}, {"readTimeout", "2 s"}}},
        {"operators", {{"listen", "127.0.0.1:0"}, {"token", "operator-token-of-tests"}}},
        {"link",
         {{"listen", "127.0.0.1:0"},
          {"publicKey", gatewayKeys_["publicKey"]},
          {"secretKey", gatewayKeys_["secretKey"]},
          {"gatewayKey", gatewayKeys_["publicKey"]},
          {"sidecarKey", sidecarKeys_["publicKey"]}}},
        {"platform", {{"url", "http://127.0.0.1:" + std::to_string(process("platform").port("port"))}, {"timeout", "300 ms"}}},
        {"keyPepper", "a pepper for process tests"},
        {"timing",
         {{"poll", "100 ms"},
          {"freshness", "2 s"},
          {"peerInterval", "50 ms"},
          {"peerTimeout", "1500 ms"},
          {"endpointHeartbeat", "50 ms"},
          {"endpointTimeout", "1 s"},
          {"leaseDuration", "1200 ms"},
          {"orderFreshness", "1 s"},
          {"usageFlush", "100 ms"},
          {"usageWindow", "1 s"},
          {"usageGrace", "300 ms"},
          {"planInterval", "200 ms"},
          {"drainNotice", "100 ms"}}}};
    processes_[name]
        = std::make_unique<TestProcess>(std::vector<std::string>{CHESTNUTCOVE, "gateway", "--settings", writeSettings(name, settings)});
}

TestProcess &Deployment::process(const std::string &name)
{
    return *processes_.at(name);
}

bool Deployment::hasProcess(const std::string &name) const
{
    return processes_.contains(name);
}

void Deployment::endProcess(const std::string &name)
{
    processes_.erase(name);
}

TestResponse
Deployment::callOperator(const std::string &gateway, const std::string &method, const std::string &path, const nlohmann::json &body)
{
    const std::string url = "http://127.0.0.1:" + std::to_string(process(gateway).port("operators")) + path;
    return sendRequest({method, url, "operator-token-of-tests", body.is_null() ? "" : body.dump()});
}

TestResponse
Deployment::putCatalogueEntry(const std::string &kind, const std::string &name, const nlohmann::json &document, const std::string &gateway)
{
    return callOperator(gateway, "PUT", "/operator/catalogue/" + kind + "/" + name, {{"document", document}});
}

void Deployment::fillCatalogue()
{
    ASSERT_TRUE(waitUntil([this] { return putCatalogueEntry("customer", "desk", customerDocument).code == 200; }));
    ASSERT_EQ(putCatalogueEntry("model", "chat", {{"owner", "desk"}, {"maxOutputTokens", 100000}}).code, 200);
    ASSERT_EQ(putCatalogueEntry("service", "orders", {{"owner", "desk"}, {"pathPrefix", "/orders"}, {"safeMethods", {"GET"}}}).code, 200);
    ASSERT_EQ(
        putCatalogueEntry("service", "status", {{"owner", "desk"}, {"pathPrefix", "/status"}, {"open", true}, {"safeMethods", {"GET"}}})
            .code,
        200);
    for (const auto &[name, started] : processes_) {
        if (!name.ends_with("-sidecar")) {
            continue;
        }
        const std::string endpoint = name.substr(0, name.rfind('-'));
        const bool isEngine = endpoint.starts_with("chat");
        const std::string address = "127.0.0.1:" + std::to_string(started->port("link"));
        const nlohmann::json document{{"dataCentre", "dc-1"},
                                      {"sidecar", address},
                                      {"serves", isEngine ? "chat" : endpoint.substr(0, endpoint.rfind('-'))},
                                      {"role", isEngine ? "mixed" : "plain"}};
        ASSERT_EQ(putCatalogueEntry("endpoint", endpoint, document).code, 200);
    }
    const TestResponse granted = callOperator("entry-1", "POST", "/operator/keys", {{"customer", "desk"}});
    ASSERT_EQ(granted.code, 200);
    key = granted.json["key"];
    keyName = granted.json["name"];
}

void Deployment::setFaults(const std::string &standIn, const nlohmann::json &faults)
{
    const std::string url = "http://127.0.0.1:" + std::to_string(process(standIn).port("port")) + "/admin/faults";
    ASSERT_EQ(sendRequest({"POST", url, "", faults.dump()}).code, 200);
}

nlohmann::json Deployment::stateOf(const std::string &standIn)
{
    return sendRequest({"GET", "http://127.0.0.1:" + std::to_string(process(standIn).port("port")) + "/admin/state"}).json;
}

std::string Deployment::callerUrl(const std::string &gateway, const std::string &path)
{
    return "http://127.0.0.1:" + std::to_string(process(gateway).port("callers")) + path;
}

TestResponse Deployment::sendChat(const std::string &gateway, const std::string &text, bool stream, int tokens)
{
    const nlohmann::json body{
        {"model", "chat"}, {"stream", stream}, {"test_tokens", tokens}, {"messages", {{{"role", "user"}, {"content", text}}}}};
    TestRequest call{"POST", callerUrl(gateway, "/v1/chat/completions"), key, body.dump()};
    call.timeoutMs = 30000;
    return sendRequest(call);
}

TestResponse Deployment::sendOrder(const std::string &gateway, const std::string &body, const std::string &idempotencyKey)
{
    TestRequest call{"POST", callerUrl(gateway, "/orders/new"), key, body};
    if (!idempotencyKey.empty()) {
        call.headers.emplace_back("Idempotency-Key", idempotencyKey);
    }
    return sendRequest(call);
}

bool Deployment::waitUntilServing(const std::string &gateway)
{
    return waitUntil([&] { return sendChat(gateway, "ready?").code == 200; });
}

}
