/**
 * Tests of the catalogue: applying changes, reading entries and authenticating API keys.
 */
#include "callerkey.h"
#include "catalogue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Chestnutcove {

namespace {

CatalogueChange customerChange(std::uint64_t version, const std::string &name, std::optional<double> rate)
{
    CatalogueChange change{version, EntryKind::Customer, name, std::nullopt, "attempt"};
    if (rate) {
        change.entry = CustomerEntry{name, *rate, 10, 1};
    }
    return change;
}

RC_GTEST_PROP(Catalogue, ChangesReorderedAndRepeated_VersionNeverDecreasesAndResultIsTheSame, ())
{
    const auto rates = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(-3, 9)));
    const auto order = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, rates.size()));
    std::vector<CatalogueChange> log;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const std::string name = "customer-" + std::to_string(i % 3);
        log.push_back(customerChange(i + 1, name, rates[i] < 0 ? std::nullopt : std::optional<double>(rates[i])));
    }
    Catalogue shuffled;
    Catalogue ordered;
    for (const std::size_t index : order) {
        const std::uint64_t before = shuffled.version();
        const auto next = shuffled.apply(*CatalogueChange::fromText(log[index].toText()));
        shuffled = next.ok() ? *next : shuffled;
        RC_ASSERT(shuffled.version() >= before);
    }
    for (const CatalogueChange &change : log) {
        ordered = *ordered.apply(change);
        const auto next = shuffled.apply(change);
        shuffled = next.ok() ? *next : shuffled;
    }
    RC_ASSERT(shuffled.toText() == ordered.toText());
    RC_ASSERT(Catalogue::fromText(ordered.toText())->toText() == ordered.toText());
}

TEST(Catalogue, RemovedEntry_KeepsVersionOfRemoval)
{
    Catalogue catalogue = *Catalogue().apply(customerChange(1, "desk", 5));
    catalogue = *catalogue.apply(customerChange(2, "desk", std::nullopt));
    EXPECT_FALSE(catalogue.find(EntryKind::Customer, "desk").has_value());
    EXPECT_EQ(catalogue.entryVersion(EntryKind::Customer, "desk"), 2U);
}

TEST(Catalogue, TwoServicesMatch_LongerPrefixIsChosen)
{
    Catalogue catalogue;
    std::uint64_t version = 0;
    for (const auto &[name, prefix] : {std::pair("all", "/orders"), std::pair("print", "/orders/print")}) {
        ServiceEntry service;
        service.name = name;
        service.owner = "desk";
        service.pathPrefix = prefix;
        catalogue = *catalogue.apply({++version, EntryKind::Service, name, service, ""});
    }
    EXPECT_EQ(catalogue.serviceFor("/orders/print/7")->name, "print");
    EXPECT_EQ(catalogue.serviceFor("/orders/printer")->name, "all");
    EXPECT_EQ(catalogue.serviceFor("/other"), nullptr);
}

TEST(EntryFromJson, SeveralInvalidKeys_AllAreReported)
{
    const auto entry = entryFromJson(EntryKind::Customer, "desk", {{"rate", -1}, {"burst", "much"}, {"extra", 1}});
    ASSERT_FALSE(entry.ok());
    const std::string message(entry.status().message());
    for (const char *part : {"rate", "burst", "extra: unknown key"}) {
        EXPECT_NE(message.find(part), std::string::npos) << message;
    }
}

class CallerKeyTest : public testing::Test
{
protected:
    CallerKeyTest()
    {
        catalogue_ = *catalogue_.apply({1, EntryKind::Key, granted_.entry.name, granted_.entry, ""});
    }

    const std::string pepper_ = "a pepper for this test";
    GrantedKey granted_ = *grantKey("desk", pepper_);
    Catalogue catalogue_;
};

TEST_F(CallerKeyTest, GrantedKey_AuthenticatesAndSecretIsNotStored)
{
    ASSERT_NE(authenticate(catalogue_, granted_.key, pepper_), nullptr);
    EXPECT_EQ(authenticate(catalogue_, granted_.key, pepper_)->customer, "desk");
    const std::string secret = granted_.key.substr(granted_.key.rfind('-') + 1);
    EXPECT_EQ(catalogue_.toText().find(secret), std::string::npos);
}

TEST_F(CallerKeyTest, WrongSecretOrPepperOrMalformedKey_IsRejected)
{
    std::string changed = granted_.key;
    changed.back() = changed.back() == '0' ? '1' : '0';
    EXPECT_EQ(authenticate(catalogue_, changed, pepper_), nullptr);
    EXPECT_EQ(authenticate(catalogue_, granted_.key, "another pepper"), nullptr);
    for (const char *key : {"", "cc-", "cc--", "cc-x", "Bearer"}) {
        EXPECT_EQ(authenticate(catalogue_, key, pepper_), nullptr);
    }
}

TEST_F(CallerKeyTest, WithdrawnKey_IsRejected)
{
    catalogue_ = *catalogue_.apply({2, EntryKind::Key, granted_.entry.name, std::nullopt, ""});
    EXPECT_EQ(authenticate(catalogue_, granted_.key, pepper_), nullptr);
}

}

}
