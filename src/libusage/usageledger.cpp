#include "usageledger.h"

#include "jsonfield.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Chestnutcove {

UsageFigures &UsageFigures::operator+=(const UsageFigures &other)
{
    requests += other.requests;
    promptTokens += other.promptTokens;
    outputTokens += other.outputTokens;
    return *this;
}

void addUsage(CustomerUsage &target, const CustomerUsage &source)
{
    for (const auto &[customer, figures] : source) {
        target[customer] += figures;
    }
}

std::string usageToText(const CustomerUsage &usage, const std::string &attempt)
{
    nlohmann::json customers = nlohmann::json::object();
    for (const auto &[customer, figures] : usage) {
        customers[customer]
            = {{"requests", figures.requests}, {"promptTokens", figures.promptTokens}, {"outputTokens", figures.outputTokens}};
    }
    return nlohmann::json{{"customers", std::move(customers)}, {"attempt", attempt}}.dump();
}

absl::StatusOr<CustomerUsage> usageFromText(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("customers") || !json["customers"].is_object()) {
        return absl::DataLossError("the usage row is not a JSON object with an object as \"customers\"");
    }
    CustomerUsage usage;
    for (const auto &[customer, figures] : json["customers"].items()) {
        if (!figures.is_object()) {
            return absl::DataLossError("the usage row has no object for customer " + customer);
        }
        usage[customer] = {fieldOr(figures, "requests", std::uint64_t{0}),
                           fieldOr(figures, "promptTokens", std::uint64_t{0}),
                           fieldOr(figures, "outputTokens", std::uint64_t{0})};
    }
    return usage;
}

UsageLedger::UsageLedger(LateUsagePolicy lateUsagePolicy)
    : lateUsagePolicy_(lateUsagePolicy)
{
}

void UsageLedger::add(WindowNumber current, const std::string &customer, const UsageFigures &figures)
{
    const WindowNumber window = sealedUpTo_ ? std::max(current, *sealedUpTo_ + 1) : current;
    windows_[window].figures[customer] += figures;
}

std::optional<UsageFlush> UsageLedger::nextFlush()
{
    if (pending_) {
        return std::nullopt;
    }
    const auto oldest = oldestUnstored();
    if (oldest) {
        pending_ = UsageFlush{*oldest, windows_.at(*oldest).figures};
    }
    return pending_;
}

void UsageLedger::onFlushed()
{
    const UsageFlush flush = *std::exchange(pending_, std::nullopt);
    windows_[flush.window].stored = flush.figures;
}

void UsageLedger::onFlushOutcomeUnknown()
{
    pending_.reset();
}

CustomerUsage UsageLedger::onWindowSealed(WindowNumber current, const CustomerUsage &stored)
{
    const UsageFlush flush = *std::exchange(pending_, std::nullopt);
    sealedUpTo_ = std::max(sealedUpTo_.value_or(0), flush.window);
    Window &window = windows_[flush.window];
    CustomerUsage late;
    for (const auto &[customer, figures] : window.figures) {
        const auto it = stored.find(customer);
        const UsageFigures before = it == stored.end() ? UsageFigures{} : it->second;
        const UsageFigures missing{
            figures.requests - before.requests, figures.promptTokens - before.promptTokens, figures.outputTokens - before.outputTokens};
        if (missing != UsageFigures{}) {
            late[customer] = missing;
        }
    }
    window.figures = stored;
    window.stored = stored;
    if (lateUsagePolicy_ == LateUsagePolicy::MoveToOpenWindow) {
        addUsage(windows_[std::max(current, *sealedUpTo_ + 1)].figures, late);
    }
    return late;
}

void UsageLedger::onStoreRestored(WindowNumber first)
{
    for (auto it = windows_.lower_bound(first); it != windows_.end(); ++it) {
        it->second.stored.clear();
    }
}

bool UsageLedger::isFlushed() const
{
    return !pending_
        && std::all_of(windows_.begin(), windows_.end(), [](const auto &item) { return item.second.figures == item.second.stored; });
}

std::optional<WindowNumber> UsageLedger::oldestUnstored() const
{
    for (const auto &[number, window] : windows_) {
        if (window.figures != window.stored) {
            return number;
        }
    }
    return std::nullopt;
}

void UsageLedger::dropStoredBefore(WindowNumber window)
{
    std::erase_if(windows_, [&](const auto &item) {
        const bool isPending = pending_ && pending_->window == item.first;
        return item.first < window && !isPending && item.second.figures == item.second.stored;
    });
}

CustomerUsage UsageLedger::unstored() const
{
    CustomerUsage result;
    for (const auto &[number, window] : windows_) {
        for (const auto &[customer, figures] : window.figures) {
            const auto stored = window.stored.find(customer);
            const UsageFigures before = stored == window.stored.end() ? UsageFigures{} : stored->second;
            result[customer] += UsageFigures{
                figures.requests - before.requests, figures.promptTokens - before.promptTokens, figures.outputTokens - before.outputTokens};
        }
    }
    return result;
}

}
