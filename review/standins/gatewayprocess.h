/**
 * A gateway as the platform runs it: the command of the deploy file, with a settings file, on a loopback address of its own.
 */
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review {

/** Deployment figures that differ between cases; all others are those of the example in DEPLOY.md. */
struct GatewaySettings
{
    std::string vm = "front-a-1";
    std::string ip;
    std::string store;
    std::string folder;
    std::string root;
    double usageWindowS = 5;
    double usageLateS = 10;
    unsigned memoryMb = 260;
};

/** A loopback address that other cases that run at the same time are unlikely to use. */
inline std::string loopbackAddress(unsigned number)
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(100 + number) + '.' + std::to_string(pid / 250 % 250) + '.' + std::to_string(pid % 250 + 1);
}

class GatewayProcess
{
public:
    explicit GatewayProcess(GatewaySettings settings)
        : settings_(std::move(settings))
    {
        writeSettings();
    }

    ~GatewayProcess()
    {
        kill(SIGKILL);
    }

    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    /** Starts the process and waits until it has printed its ports. @return whether it did. */
    bool start()
    {
        int out[2] = {};
        if (pipe2(out, O_CLOEXEC) != 0) {
            return false;
        }
        const pid_t parent = getpid();
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent || chdir(settings_.root.c_str()) != 0) {
                _exit(1);
            }
            dup2(out[1], STDOUT_FILENO);
            setenv("CHESTNUTCOVE_BOOT", settingsFile().c_str(), 1);
            execl("target/src/chestnutcove", "target/src/chestnutcove", "gateway", "--platform", nullptr);
            _exit(1);
        }
        ::close(out[1]);
        std::string line;
        char character = 0;
        while (read(out[0], &character, 1) == 1 && character != '\n') {
            line += character;
        }
        const auto ports = nlohmann::json::parse(line, nullptr, false);
        if (!ports.is_object()) {
            ::close(out[0]);
            return false;
        }
        callerPort_ = ports["callers"].get<std::uint16_t>();
        readinessPort_ = ports["readiness"].get<std::uint16_t>();
        std::thread([descriptor = out[0], file = settings_.folder + '/' + settings_.vm + ".log"] {
            std::ofstream log(file, std::ios::app);
            char buffer[65536];
            ssize_t size = 0;
            while ((size = read(descriptor, buffer, sizeof buffer)) > 0) {
                log.write(buffer, size);
                log.flush();
            }
            ::close(descriptor);
        }).detach();
        return true;
    }

    void signal(int number) const
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    std::uint16_t callerPort() const
    {
        return callerPort_;
    }

    /** Ends the process and waits for it. */
    void kill(int signal)
    {
        if (pid_ > 0) {
            ::kill(pid_, signal);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    /** Whether the process has ended by itself. */
    bool hasEnded()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ < 0;
    }

    /** Resident memory. */
    double memoryMb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        std::uint64_t total = 0;
        std::uint64_t resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }

    bool isReady() const
    {
        const auto connection = Connection::open(settings_.ip, readinessPort_);
        Message answer;
        return connection && connection->write("GET /chestnutcove/readyz HTTP/1.1\r\nHost: " + settings_.ip + "\r\n\r\n")
            && connection->read(answer, Clock::now() + milliseconds(1000)) == ReadResult::Complete && answer.status == 200;
    }

    bool waitUntilReady(milliseconds limit) const
    {
        const auto deadline = Clock::now() + limit;
        while (Clock::now() < deadline) {
            if (isReady()) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
        return false;
    }

    std::unique_ptr<Connection> connect() const
    {
        return Connection::open(settings_.ip, callerPort_);
    }

    const GatewaySettings &settings() const
    {
        return settings_;
    }

private:
    std::string settingsFile() const
    {
        return settings_.folder + '/' + settings_.vm + ".conf";
    }

    void writeSettings() const
    {
        std::ofstream file(settingsFile());
        file << "node=" << settings_.vm << "\nrole=gateway\nclass=front\nserves=front\nip=" << settings_.ip
             << "\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\nlisten.front=" << settings_.ip
             << ":0\nlisten.ready=" << settings_.ip
             << ":0\nport_range=0,0\nbootstrap=true\nlimits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=" << settings_.memoryMb
             << "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nheartbeat_ms=1200\nbounds.contact_ms=3000\nbounds.drain_ms=2000\n"
                "bounds.grace_s=8\nbounds.config_ms=2000\nbounds.strict_revoke=true\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n"
                "bounds.budget_window_s=10\nbounds.retry_budget_slack=56\nbounds.quota_window_s=8\nbounds.quota_overage=0.1\n"
                "bounds.quota_slack=110000\nbounds.fencing_required=false\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\n"
                "bounds.usage_window_s="
             << settings_.usageWindowS << "\nbounds.usage_late_s=" << settings_.usageLateS << "\nplatform.address=" << settings_.store
             << "\nplatform.form=table\nplatform.row_bytes=65536\nplatform.history_s=20\n"
             << "cloud.address=" << settings_.store << "\ncloud.rate_per_s=50.0\ncloud.duties=usage_report\ncloud.duty_per_s=50.0\n";
    }

    GatewaySettings settings_;
    pid_t pid_ = -1;
    std::uint16_t callerPort_ = 0;
    std::uint16_t readinessPort_ = 0;
};

}
