/**
 * Replays traces and compares routing policies, or the product with the stated outcomes of a trace. The same trace gives the same JSON,
 * byte for byte.
 */
#include "replay.h"
#include "tracefile.h"

#include "documentreader.h"
#include "settingsfile.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>
#include <string>

namespace {

using namespace Chestnutcove;

/** Compares the results of policies `product` and `bound` with the outcomes file. @return the number of outcomes that are missed. */
int checkOutcomes(const Trace &trace, const std::string &path)
{
    const auto json = readSettingsFile(path);
    if (!json.ok()) {
        std::cerr << json.status().message() << '\n';
        return 1;
    }
    DocumentFaults faults(path);
    DocumentReader reader(*json, faults);
    const nlohmann::json product = Replay(trace, ReplayPolicy::Product).run();
    const nlohmann::json bound = Replay(trace, ReplayPolicy::Pooled).run();
    if (product != Replay(trace, ReplayPolicy::Product).run()) {
        std::cerr << "the same trace gave two results\n";
        return 1;
    }
    int missed = 0;
    const auto require = [&](const char *what, double value, bool holds, double limit) {
        std::cout << (holds ? "ok   " : "MISS ") << what << ": " << value << " (limit " << limit << ")\n";
        missed += holds ? 0 : 1;
    };
    const double goodputLimit = reader.number("goodputOfBoundAtLeast", 0, 1);
    const double goodput = product["goodput"].get<double>() / std::max(bound["goodput"].get<double>(), 1e-9);
    require("goodput over the bound's", goodput, goodput >= goodputLimit, goodputLimit);
    const double shareLimit = reader.number("worstServedShareAtLeast", 0, 1);
    require("share of the worst-served customer", product["worstServedShare"], product["worstServedShare"] >= shareLimit, shareLimit);
    const double wrongfulLimit = reader.number("wrongfulRefusalsAtMost", 0, 1);
    const double wrongful = product["wrongfulRefusals"].get<double>() / std::max(product["requests"].get<double>(), 1.0);
    require("wrongful refusals over requests", wrongful, wrongful <= wrongfulLimit, wrongfulLimit);
    const double changeLimit = reader.number("roleChangesPerEngineAtMost", 0, 100);
    require("role changes per engine", product["roleChangesPerEngine"], product["roleChangesPerEngine"] <= changeLimit, changeLimit);
    require("overshoot", product["overshootTokens"], product["overshootTokens"] <= 1e-3, 0);
    reader.finish();
    if (!faults.isEmpty()) {
        std::cerr << faults.status().message() << '\n';
        return 1;
    }
    return missed;
}

}

int main(int argc, char **argv)
{
    CLI::App app("Plays a trace in virtual time through the decision classes", "policyreplay");
    std::string path;
    std::string policy = "product";
    std::string outcomes;
    bool json = false;
    app.add_option("--trace", path, "Trace file")->required();
    app.add_option("--policy", policy, "One of " + allNames(ReplayPolicyNames));
    app.add_option("--check", outcomes, "Compare with the stated outcomes of this file");
    app.add_flag("--json", json, "Print JSON on one line");
    CLI11_PARSE(app, argc, argv);
    const auto trace = readTrace(path);
    const auto chosen = valueOf(ReplayPolicyNames, policy);
    if (!trace.ok() || !chosen) {
        std::cerr << (trace.ok() ? "unknown policy" : std::string(trace.status().message())) << '\n';
        return 2;
    }
    if (!outcomes.empty()) {
        return checkOutcomes(*trace, outcomes) == 0 ? 0 : 1;
    }
    std::cout << Replay(*trace, *chosen).run().dump(json ? -1 : 2) << '\n';
    return 0;
}
