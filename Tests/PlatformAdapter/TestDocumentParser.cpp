#include "platform/DocumentParser.h"

#include <QJsonArray>
#include <QJsonObject>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace papayaline::platform;

class TestDocumentParser : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestDocumentParser);
  CPPUNIT_TEST(ConfigurationIsRead);
  CPPUNIT_TEST(ConfigurationWithUnknownKindOfRouteIsRefused);
  CPPUNIT_TEST(ConfigurationWithHugeNumbersIsBounded);
  CPPUNIT_TEST(AccountsAreRead);
  CPPUNIT_TEST(AccountsAbsentOrEmptyDiffer);
  CPPUNIT_TEST(AccountsUnusableAreLeftOutAndReportedWithoutTheirKeys);
  CPPUNIT_TEST(EntryIsRead);
  CPPUNIT_TEST(EntriesOfOtherWritersAreRefused);
  CPPUNIT_TEST_SUITE_END();

  static QJsonObject Route()
  {
    return { { "name", "r-1" },
             { "database", "lepu270" },
             { "routeKind", "bounded_staleness" },
             { "timeoutMs", 2000 },
             { "targetLatencyMs", 600 },
             { "priority", 2 },
             { "backend", "huvo11a" },
             { "maxStalenessMs", 1500 } };
  }

  static QJsonObject Document(const QJsonObject& aRoute)
  {
    return { { "configVersion", 7 },
             { "routes", QJsonArray{ aRoute } },
             { "backends",
               QJsonArray{ QJsonObject{ { "name", "huvo11a" },
                                        { "maxConns", 22 },
                                        { "syncReplicas", 1 } } } },
             { "limits", QJsonObject{ { "txIdleMs", 2500 } } } };
  }

  static QJsonObject Account(const QString& aName,
                             const QJsonArray& aKeys,
                             QJsonObject aOthers = {})
  {
    aOthers["name"] = aName;
    aOthers["apiKeys"] = aKeys;
    return aOthers;
  }

  static StoredObject Entry(const QString& aName, const QJsonValue& aValue)
  {
    QJsonObject content{ { "backend", "huvo11a" },
                         { "address", "10.128.0.9:8080" },
                         { "zone", "tpe-a" },
                         { "slots", 3 },
                         { "state", "draining" },
                         { "coldLeftMs", 0 },
                         { "dbRole", "primary" },
                         { "sequence", 4 },
                         { "born", qint64(1774701556077) } };
    if (!aName.isEmpty()) {
      content[aName] = aValue;
    }
    return { "i-7f3a91c2", { 0, 12 }, content, false };
  }

public:
  void ConfigurationIsRead()
  {
    const auto read = DocumentParser().ParseConfiguration(Document(Route()));
    CPPUNIT_ASSERT(!read.IsError());
    const auto& configuration = read.Value();
    CPPUNIT_ASSERT_EQUAL(int64_t(7), configuration.mVersion);
    const auto* route = configuration.FindRoute("lepu270");
    CPPUNIT_ASSERT(route && route->mFreshness == Freshness::BoundedStaleness);
    CPPUNIT_ASSERT(route->mMaxAge == Milliseconds(1500));
    CPPUNIT_ASSERT(configuration.mTransactionIdle == Milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(1U, configuration.mGroups.front().mSyncReplicas);
  }

  void ConfigurationWithUnknownKindOfRouteIsRefused()
  {
    auto route = Route();
    route["routeKind"] = "whatever";
    CPPUNIT_ASSERT(
      DocumentParser().ParseConfiguration(Document(route)).IsError());
  }

  /// Guards against times and ranks that overflow, or that peers reject as
  /// malformed.
  void ConfigurationWithHugeNumbersIsBounded()
  {
    auto route = Route();
    route["timeoutMs"] = qint64(1) << 60;
    route["maxStalenessMs"] = qint64(1) << 60;
    route["priority"] = -1;
    const auto read = DocumentParser().ParseConfiguration(Document(route));
    CPPUNIT_ASSERT(!read.IsError());
    const auto& parsed = read.Value().mRoutes.front();
    constexpr Milliseconds kDay = std::chrono::hours(24);
    CPPUNIT_ASSERT(parsed.mTimeout == kDay && parsed.mMaxAge == kDay);
    CPPUNIT_ASSERT_EQUAL(0U, parsed.mRank);
  }

  void AccountsAreRead()
  {
    auto document = Document(Route());
    document["tenants"] = QJsonArray{ Account(
      "meadow",
      { "k1", "k2" },
      { { "priority", 2 }, { "ratePerS", 7.5 }, { "burst", 12 } }) };
    const auto read = DocumentParser().ParseConfiguration(document);
    CPPUNIT_ASSERT(!read.IsError());
    const auto* account = read.Value().mAccounts->FindByKey("k2");
    CPPUNIT_ASSERT(account && account->mName == "meadow");
    CPPUNIT_ASSERT_EQUAL(2U, account->mRank);
    CPPUNIT_ASSERT(account->mQuota == AccountQuota({ 7.5, 12 }));
    CPPUNIT_ASSERT(read.Value().mProblems.empty());
  }

  void AccountsAbsentOrEmptyDiffer()
  {
    auto document = Document(Route());
    CPPUNIT_ASSERT(
      !DocumentParser().ParseConfiguration(document).Value().mAccounts);
    document["tenants"] = QJsonArray();
    const auto read = DocumentParser().ParseConfiguration(document);
    CPPUNIT_ASSERT(read.Value().mAccounts);
    CPPUNIT_ASSERT(read.Value().mAccounts->All().empty());
    document["tenants"] = "none";
    CPPUNIT_ASSERT(DocumentParser().ParseConfiguration(document).IsError());
  }

  void AccountsUnusableAreLeftOutAndReportedWithoutTheirKeys()
  {
    auto document = Document(Route());
    document["tenants"] = QJsonArray{
      Account("meadow", { "secret-1" }),
      Account("", { "secret-2" }),
      Account("two words", { "secret-3" }),
      Account("harbour", { "secret-4", "secret-1" }),
      Account("meadow", { "secret-5" }),
      Account("slow", { "secret-6" }, { { "ratePerS", -1 }, { "burst", 1 } }),
      Account(
        "fast", { "secret-7" }, { { "ratePerS", 1e300 }, { "burst", 1 } }),
      Account("blank", { "" }),
      "secret-8",
      Account("last", { "secret-9", "secret-9" }),
    };
    const auto read = DocumentParser().ParseConfiguration(document);
    CPPUNIT_ASSERT(!read.IsError());
    const auto& accounts = *read.Value().mAccounts;
    CPPUNIT_ASSERT_EQUAL(size_t(2), accounts.All().size());
    CPPUNIT_ASSERT(accounts.FindByKey("secret-1")->mName == "meadow");
    CPPUNIT_ASSERT(accounts.FindByKey("secret-9")->mName == "last");
    const std::vector<std::string> expected = {
      "tenants[1]: missing or unusable value: name",
      "tenants[2]: missing or unusable value: name",
      "tenants[3]: apiKeys[1]: another account holds the same key",
      "tenants[4]: another account has the same name",
      "tenants[5]: missing or unusable value: ratePerS",
      "tenants[6]: missing or unusable value: ratePerS",
      "tenants[7]: missing or unusable value: apiKeys",
      "tenants[8]: missing or unusable value: JSON object",
      "tenants[9]: apiKeys: a key is listed twice",
    };
    CPPUNIT_ASSERT(expected == read.Value().mProblems);
  }

  void EntryIsRead()
  {
    const auto read = DocumentParser().ParseDirectoryEntry(Entry({}, {}));
    CPPUNIT_ASSERT(!read.IsError());
    const auto& member = read.Value().mMember;
    CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), member.mName);
    CPPUNIT_ASSERT(member.mIsLeaving && member.mListedRole == Role::Primary);
    CPPUNIT_ASSERT_EQUAL(int64_t(1774701556077), member.mStartedMs);
    CPPUNIT_ASSERT_EQUAL(int64_t(4), read.Value().mSequence);
  }

  void EntriesOfOtherWritersAreRefused()
  {
    struct Case
    {
      const char* mField;
      QJsonValue mValue;
    };
    for (const auto& it : { Case{ "backend", 5 },
                            Case{ "address", "nowhere" },
                            Case{ "address", "10.128.0.9:70000" },
                            Case{ "address", "10.128.0.9:0" },
                            Case{ "address", "10.128.0.9:-1" },
                            Case{ "slots", 4294967297.0 },
                            Case{ "slots", 1e300 },
                            Case{ "slots", "three" },
                            Case{ "slots", -1 },
                            Case{ "state", "resting" },
                            Case{ "dbRole", QJsonValue::Null } }) {
      const auto read =
        DocumentParser().ParseDirectoryEntry(Entry(it.mField, it.mValue));
      CPPUNIT_ASSERT_MESSAGE(it.mField, read.IsError());
    }
    CPPUNIT_ASSERT(DocumentParser()
                     .ParseDirectoryEntry({ "i-1", { 0, 1 }, "noise", false })
                     .IsError());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDocumentParser);
