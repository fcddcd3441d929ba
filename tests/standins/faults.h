/**
 * Faults of a stand-in, set over HTTP: POST /admin/faults {"outage": bool, "silent": bool, "latencyMs": n, "loseAnswers": n, "slowOrders":
 * n}.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace Chestnutcove {

struct Faults
{
    /** Answers 503. */
    bool outage = false;
    /** Takes requests and never answers. */
    bool silent = false;
    std::uint64_t latencyMs = 0;
    /** So many writes take effect and get no answer. */
    std::uint64_t loseAnswers = 0;

    void update(const nlohmann::json &json)
    {
        outage = json.value("outage", outage);
        silent = json.value("silent", silent);
        latencyMs = json.value("latencyMs", latencyMs);
        loseAnswers = json.value("loseAnswers", loseAnswers);
    }
};

}
