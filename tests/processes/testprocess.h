/**
 * Starts the program and the stand-ins as processes on free loopback ports, for tests that kill, pause and cut them.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chestnutcove {

/** One child process; it is ended with this object. */
class TestProcess
{
public:
    /** Waits for the first line of output, a JSON object with the ports. */
    explicit TestProcess(const std::vector<std::string> &command);
    /** The same with a variable added to the environment. */
    TestProcess(const std::vector<std::string> &command, const std::string &variable, const std::string &value);
    ~TestProcess();
    TestProcess(const TestProcess &) = delete;
    TestProcess &operator=(const TestProcess &) = delete;

    void signal(int number) const;
    /** Kills it and waits for its end. */
    void kill();
    /** Waits for its end after SIGTERM. @return the exit code, or -1 when it had to be killed. */
    int terminate();
    std::uint16_t port(const std::string &name) const;

private:
    void start(const std::vector<std::string> &command);

    pid_t pid_ = -1;
    /** The process's standard output; what follows the first line is not read. */
    int output_ = -1;
    nlohmann::json ports_;
};

struct TestAnswer
{
    /** 0 where there was no answer. */
    int code = 0;
    std::string body;
    nlohmann::json json;
};

struct TestCall
{
    std::string method = "GET";
    std::string url;
    std::string bearer;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    int timeoutMs = 10000;
};

TestAnswer send(const TestCall &call);
/** Repeats until true; @return whether it became true within the time. */
bool eventually(const std::function<bool()> &condition, int timeoutMs = 15000);

/** A small deployment: platform, engines and services with their sidecars, gateways. Timing is shortened. */
class Deployment
{
public:
    Deployment();
    ~Deployment();

    void startPlatform();
    void startEngine(const std::string &name, const std::vector<std::string> &options = {});
    void startService(const std::string &name, int delayMs = 0);
    void startSidecar(const std::string &name, bool engine);
    void startGateway(const std::string &name);
    /** Customer "desk", model "chat", service "orders" and all endpoints; grants a key. */
    void fillCatalogue();

    TestProcess &process(const std::string &name);
    bool has(const std::string &name) const;
    void end(const std::string &name);

    TestAnswer
    callOperator(const std::string &gateway, const std::string &method, const std::string &path, const nlohmann::json &body = {});
    TestAnswer
    put(const std::string &kind, const std::string &name, const nlohmann::json &document, const std::string &gateway = "entry-1");
    void setFaults(const std::string &standIn, const nlohmann::json &faults);
    nlohmann::json stateOf(const std::string &standIn);
    TestAnswer chat(const std::string &gateway, const std::string &text, bool stream = false, int tokens = 16);
    TestAnswer order(const std::string &gateway, const std::string &body, const std::string &idempotencyKey = {});
    bool waitUntilServing(const std::string &gateway);
    std::string callerUrl(const std::string &gateway, const std::string &path);

    std::string key;
    std::string keyName;
    nlohmann::json customer{{"rate", 100000}, {"burst", 200000}};

private:
    std::string writeSettings(const std::string &name, const nlohmann::json &settings);

    std::string directory_;
    std::map<std::string, std::unique_ptr<TestProcess>> processes_;
    nlohmann::json gatewayKeys_;
    nlohmann::json sidecarKeys_;
};

}
