/**
 * Faults that a stand-in simulates, set over HTTP: POST /admin/faults {"outage": bool, "silent": bool, "latencyMs": n, "loseAnswers": n}.
 * Members that are absent keep their values.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace Chestnutcove {

struct Faults
{
    /** Respond with 503 to all requests but those under /admin/. */
    bool outage = false;
    /** Accept requests other than those under /admin/ and never respond; an engine also stops generating tokens. */
    bool silent = false;
    /** Delay before the platform handles a request under /v1/. */
    std::uint64_t latencyMs = 0;
    /** Number of writes still to be carried out without a response. */
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
