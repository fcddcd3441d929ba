/**
 * Counts what this gateway served, per window and customer, until each figure is stored in the table service.
 *
 * The gateway writes absolute counters into its own row of a window, on the condition that the window is not sealed. If it is sealed, the
 * usage that the row lacks moves to the next open window, or is dropped where each window may hold only its own usage. So nothing is
 * counted twice, and a sealed window never changes.
 */
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Chestnutcove {

struct UsageFigures
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;

    UsageFigures &operator+=(const UsageFigures &other);
    auto operator<=>(const UsageFigures &) const = default;
};

using CustomerUsage = std::map<std::string, UsageFigures>;

/** Adds the figures of each customer in @p source to those in @p target. */
void addUsage(CustomerUsage &target, const CustomerUsage &source);
std::string usageToText(const CustomerUsage &usage, const std::string &attempt);
absl::StatusOr<CustomerUsage> usageFromText(const std::string &text);

/** Number of a window: the wall clock time divided by the length of a window. */
using WindowNumber = std::uint64_t;

struct UsageFlush
{
    WindowNumber window = 0;
    /** The complete contents of the row, not an increment. */
    CustomerUsage figures;
};

/** What happens to figures whose window was sealed before they were stored. */
enum class LateUsagePolicy {
    MoveToOpenWindow,
    Drop,
};

class UsageLedger
{
public:
    explicit UsageLedger(LateUsagePolicy lateUsagePolicy = LateUsagePolicy::MoveToOpenWindow);

    void add(WindowNumber current, const std::string &customer, const UsageFigures &figures);

    /** The oldest window with figures that are not stored. Empty while the outcome of the previous flush is not reported. */
    std::optional<UsageFlush> nextFlush();
    /** The pending flush was stored. */
    void onFlushed();
    /**
     * The window of the pending flush is sealed, and its row holds @p stored permanently.
     * @return the figures that the row lacks, which were moved to @p current or a later window, or dropped.
     */
    CustomerUsage onWindowSealed(WindowNumber current, const CustomerUsage &stored);
    /** The outcome of the pending flush is unknown: the same figures, or more, will be written again. */
    void onFlushOutcomeUnknown();

    /** The store may have forgotten what it stored of windows from @p first on, so they are written again. */
    void onStoreRestored(WindowNumber first);

    bool isFlushed() const;
    /** The oldest window with figures that are not confirmed as stored. */
    std::optional<WindowNumber> oldestUnstored() const;
    /** Drops the windows before @p window whose figures are all stored and that have no pending flush. */
    void dropStoredBefore(WindowNumber window);
    /** The figures of all windows that are not confirmed as stored. */
    CustomerUsage unstored() const;

private:
    struct Window
    {
        CustomerUsage figures;
        CustomerUsage stored;
    };

    LateUsagePolicy lateUsagePolicy_;
    std::map<WindowNumber, Window> windows_;
    std::optional<UsageFlush> pending_;
    /** Windows up to this one are known to be sealed. */
    std::optional<WindowNumber> sealedUpTo_;
};

}
