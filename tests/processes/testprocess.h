/**
 * Starts the program and the stand-ins as child processes on free loopback ports, for tests that kill, pause and disconnect them.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Chestnutcove {

/** A child process; the destructor kills it. */
class TestProcess
{
public:
    /** Starts the command and waits for its first line of output, a JSON object that maps names to listening ports. */
    explicit TestProcess(const std::vector<std::string> &command);
    /** Like the constructor above, with one more environment variable in the child. */
    TestProcess(const std::vector<std::string> &command, const std::string &variable, const std::string &value);
    ~TestProcess();
    TestProcess(const TestProcess &) = delete;
    TestProcess &operator=(const TestProcess &) = delete;

    void sendSignal(int number) const;
    /** Sends SIGKILL and waits for the process to exit. */
    void kill();
    /** Sends SIGTERM and waits up to 15 s for the exit. @return the exit code, or -1 if the process ended by a signal or had to be killed.
     */
    int terminate();
    bool isRunning() const;
    /** The most memory that the process has had resident, in bytes. */
    std::size_t peakResidentBytes() const;
    /** Number of descriptors that the process has open. */
    std::size_t openDescriptors() const;
    /** The port that the process printed under this name, or 0 if it printed none. */
    std::uint16_t port(const std::string &name) const;

private:
    void start(const std::vector<std::string> &command);

    pid_t pid_ = -1;
    /** Read end of the process's standard output. Only the first line is read, unless the log is to be shown. */
    int output_ = -1;
    /** Shows the log of a process that writes it to its standard output. It ends with the process. */
    std::jthread outputCopier_;
    nlohmann::json ports_;
};

/** An HTTP response. */
struct TestResponse
{
    /** HTTP status code; 0 if the request failed or timed out before the response was complete. */
    int code = 0;
    std::string body;
    /** The parsed body; discarded (`is_discarded()`) if it is not JSON. */
    nlohmann::json json;
};

/** An HTTP request; `bearer`, if not empty, is sent in the Authorization header. */
struct TestRequest
{
    std::string method = "GET";
    std::string url;
    std::string bearer;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    int timeoutMs = 10000;
};

TestResponse sendRequest(const TestRequest &call);
/** Polls the condition every 20 ms. @return whether it became true within the timeout. */
bool waitUntil(const std::function<bool()> &condition, int timeoutMs = 15000);

/** A small deployment with shortened timing: the platform, engines and services with their sidecars, and gateways. */
class Deployment
{
public:
    Deployment();
    ~Deployment();

    void startPlatform();
    void startEngine(const std::string &name, const std::vector<std::string> &options = {});
    void startService(const std::string &name, int delayMs = 0);
    /** Starts, or restarts on the same port, the sidecar of the engine or service @p name. */
    void startSidecar(const std::string &name, bool isEngine);
    void startGateway(const std::string &name);
    /** Writes customer "desk", model "chat", services "orders" and "status" and all endpoints, and grants the customer a key. */
    void fillCatalogue();

    TestProcess &process(const std::string &name);
    bool hasProcess(const std::string &name) const;
    /** Kills the process, if there is one of this name. */
    void endProcess(const std::string &name);

    TestResponse
    callOperator(const std::string &gateway, const std::string &method, const std::string &path, const nlohmann::json &body = {});
    TestResponse putCatalogueEntry(const std::string &kind,
                                   const std::string &name,
                                   const nlohmann::json &document,
                                   const std::string &gateway = "entry-1");
    void setFaults(const std::string &standIn, const nlohmann::json &faults);
    nlohmann::json stateOf(const std::string &standIn);
    TestResponse sendChat(const std::string &gateway, const std::string &text, bool stream = false, int tokens = 16);
    TestResponse sendOrder(const std::string &gateway, const std::string &body, const std::string &idempotencyKey = {});
    bool waitUntilServing(const std::string &gateway);
    std::string callerUrl(const std::string &gateway, const std::string &path);

    /** API key of customer "desk", and the name by which operators withdraw it. */
    std::string key;
    std::string keyName;
    /** Catalogue document of customer "desk". */
    nlohmann::json customerDocument{{"rate", 100000}, {"burst", 200000}};

private:
    std::string writeSettings(const std::string &name, const nlohmann::json &settings);

    std::string directory_;
    std::map<std::string, std::unique_ptr<TestProcess>> processes_;
    nlohmann::json gatewayKeys_;
    nlohmann::json sidecarKeys_;
};

}
