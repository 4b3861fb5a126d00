#include "FakeUpstreams.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Callers with keys, whose accounts change while their statements and
/// transactions are in progress.
class TestClientAccounts : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestClientAccounts);
  CPPUNIT_TEST(AccountsAreFoundByKeyAndName);
  CPPUNIT_TEST(ConfigurationWithoutAccountsServesCallersWithoutKey);
  CPPUNIT_TEST(ConfigurationWithEmptyAccountsKnowsNoKey);
  CPPUNIT_TEST(KeyUnknownIsDeniedCountedAndLoggedWithoutTheKey);
  CPPUNIT_TEST(KeyTakenAwayStatementsOfTheTransactionAreDenied);
  CPPUNIT_TEST(KeyTakenAwayAfterBeginNothingReachesTheDatabase);
  CPPUNIT_TEST(KeyTakenAwayCommitIsDeniedAndRolledBack);
  CPPUNIT_TEST(KeyMovedTransactionIsRolledBackAndTheNextOneRuns);
  CPPUNIT_TEST(KeyTakenAwayWhileAConnectionOpensNothingRuns);
  CPPUNIT_TEST(KeyTakenAwayWhileTheConnectionIsPreparedNothingRuns);
  CPPUNIT_TEST(KeyTakenAwayWhileTheTransactionBeginsItIsRolledBack);
  CPPUNIT_TEST(KeyTakenAwayBetweenRetriesNothingRuns);
  CPPUNIT_TEST(KeyTakenAwayWhileTheStatementIsDeferredNothingRuns);
  CPPUNIT_TEST(KeyTakenAwayBeforeTheHedgeNothingMoreIsSent);
  CPPUNIT_TEST(RoutePublicNeedsNoKey);
  CPPUNIT_TEST(RouteNoLongerPublicAppliesFromTheNextTransaction);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<FakeUpstreams> mFake;

  static std::vector<ClientAccount> TwoAccounts()
  {
    return { { "meadow", 1, std::nullopt, { "key-1", "key-2" } },
             { "harbour", 2, std::nullopt, { "key-3" } } };
  }

  void TakeAway(const std::string& aKey)
  {
    auto accounts = TwoAccounts();
    for (auto& it : accounts) {
      std::erase(it.mKeys, aKey);
    }
    mFake->SetAccounts(accounts);
  }

  size_t CountRuns() const
  {
    size_t n = 0;
    for (const auto* it : { "a", "b", "c" }) {
      n += mFake->At(it).mRan.size();
    }
    return n;
  }

  size_t CountArrived(CommandType aType) const
  {
    return static_cast<size_t>(std::ranges::count(
      mFake->At("a").mArrived, aType, &UpstreamCommand::mType));
  }

  static void AssertDenied(const FakeUpstreams::Caller& aCaller)
  {
    CPPUNIT_ASSERT(aCaller.IsAnswered());
    CPPUNIT_ASSERT(aCaller.LastError() == ErrorKind::AuthenticationFailed);
  }

  std::unique_ptr<FakeUpstreams::Caller> OpenTransaction()
  {
    auto caller = mFake->Connect("db", "key-1");
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFake->Run(40ms);
    CPPUNIT_ASSERT(caller->IsAnswered() && !caller->LastError());
    return caller;
  }

  void SetRoutePublic(bool aIsPublic)
  {
    RelayRoute route;
    route.mDatabase = "db";
    route.mGroup = "g";
    route.mIsPublic = aIsPublic;
    mFake->SetRoute(route);
  }

public:
  void setUp() override
  {
    mFake = std::make_unique<FakeUpstreams>();
    mFake->SetAccounts(TwoAccounts());
  }
  void tearDown() override { mFake.reset(); }

  void AccountsAreFoundByKeyAndName()
  {
    const ClientAccounts accounts(TwoAccounts());
    CPPUNIT_ASSERT_EQUAL(std::string("meadow"),
                         accounts.FindByKey("key-2")->mName);
    CPPUNIT_ASSERT_EQUAL(2U, accounts.FindByName("harbour")->mRank);
    CPPUNIT_ASSERT(!accounts.FindByKey("meadow"));
    CPPUNIT_ASSERT(!accounts.FindByKey(""));
  }

  void ConfigurationWithoutAccountsServesCallersWithoutKey()
  {
    FakeUpstreams fake;
    const auto caller = fake.Connect();
    caller->Send("WRITE 1 x");
    fake.Run(30ms);
    CPPUNIT_ASSERT(caller->IsAnswered() && !caller->LastError());
  }

  void ConfigurationWithEmptyAccountsKnowsNoKey()
  {
    mFake->SetAccounts({});
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("READ 1");
    AssertDenied(*caller);
  }

  void KeyUnknownIsDeniedCountedAndLoggedWithoutTheKey()
  {
    const auto caller = mFake->Connect("db", "key-9");
    caller->Send("READ 1");
    AssertDenied(*caller);
    caller->Send("BEGIN");
    AssertDenied(*caller);
    mFake->Run(50ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountRuns());
    CPPUNIT_ASSERT_EQUAL(
      uint64_t(2),
      mFake->Router().ErrorCounts().at(ErrorKind::AuthenticationFailed));
    CPPUNIT_ASSERT(std::ranges::count(mFake->mLog, "session.denied") == 2);
    CPPUNIT_ASSERT(caller->Last().mError->mMessage.find("key-9") ==
                   std::string::npos);
  }

  void KeyTakenAwayStatementsOfTheTransactionAreDenied()
  {
    const auto caller = OpenTransaction();
    TakeAway("key-1");
    const auto before = CountRuns();
    caller->Send("WRITE 2 y");
    AssertDenied(*caller);
    CPPUNIT_ASSERT(caller->Last().mTransactionState ==
                   TransactionState::Failed);
    mFake->Run(30ms);
    CPPUNIT_ASSERT_EQUAL(before, CountRuns());
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountArrived(CommandType::Rollback));
  }

  void KeyTakenAwayAfterBeginNothingReachesTheDatabase()
  {
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("BEGIN");
    TakeAway("key-1");
    caller->Send("READ 1");
    AssertDenied(*caller);
    mFake->Run(30ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountArrived(CommandType::Begin));
  }

  void KeyTakenAwayCommitIsDeniedAndRolledBack()
  {
    const auto caller = OpenTransaction();
    TakeAway("key-1");
    const auto before = CountRuns();
    caller->Send("COMMIT");
    AssertDenied(*caller);
    CPPUNIT_ASSERT(caller->Last().mTransactionState == TransactionState::None);
    mFake->Run(30ms);
    CPPUNIT_ASSERT_EQUAL(before, CountRuns());
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountArrived(CommandType::Rollback));
  }

  void KeyMovedTransactionIsRolledBackAndTheNextOneRuns()
  {
    const auto caller = OpenTransaction();
    mFake->SetAccounts(
      { { "meadow", 1, std::nullopt, { "key-2" } },
        { "harbour", 2, std::nullopt, { "key-3", "key-1" } } });
    caller->Send("READ 1");
    AssertDenied(*caller);
    caller->Send("ROLLBACK");
    caller->Send("READ 1");
    mFake->Run(30ms);
    CPPUNIT_ASSERT(caller->IsAnswered() && !caller->LastError());
  }

  /// The refusal does not wait until a connection is open.
  void KeyTakenAwayWhileAConnectionOpensNothingRuns()
  {
    for (const auto* it : { "a", "b", "c" }) {
      mFake->At(it).mIsReachable = false;
      mFake->ResetConnections(it);
    }
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("WRITE 1 x");
    TakeAway("key-1");
    mFake->Run(20ms);
    AssertDenied(*caller);
    for (const auto* it : { "a", "b", "c" }) {
      mFake->At(it).mIsReachable = true;
    }
    mFake->Run(1s);
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountRuns());
  }

  void KeyTakenAwayWhileTheConnectionIsPreparedNothingRuns()
  {
    const auto other = mFake->Connect("db", "key-3");
    other->Send("WRITE 1 x");
    mFake->Run(40ms);
    const auto before = CountRuns();
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("SET name value");
    caller->Send("WRITE 2 y");
    CPPUNIT_ASSERT(!caller->IsAnswered());
    TakeAway("key-1");
    mFake->Run(10ms);
    AssertDenied(*caller);
    CPPUNIT_ASSERT_EQUAL(before, CountRuns());
    // The connection goes on serving others.
    other->Send("WRITE 3 z");
    mFake->Run(20ms);
    CPPUNIT_ASSERT(other->IsAnswered() && !other->LastError());
  }

  void KeyTakenAwayWhileTheTransactionBeginsItIsRolledBack()
  {
    const auto other = mFake->Connect("db", "key-2");
    other->Send("WRITE 1 x");
    mFake->Run(40ms);
    const auto before = CountRuns();
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("BEGIN");
    caller->Send("WRITE 2 y");
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountArrived(CommandType::Begin));
    TakeAway("key-1");
    mFake->Run(10ms);
    AssertDenied(*caller);
    CPPUNIT_ASSERT_EQUAL(before, CountRuns());
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountArrived(CommandType::Rollback));
  }

  void KeyTakenAwayBetweenRetriesNothingRuns()
  {
    mFake->At("a").mRefusal = ErrorKind::QueueFull;
    mFake->At("a").mRefusals = 3;
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("WRITE 1 x");
    mFake->Run(15ms);
    CPPUNIT_ASSERT(!caller->IsAnswered());
    CPPUNIT_ASSERT(mFake->At("a").mRefusals < 3);
    TakeAway("key-1");
    mFake->Run(200ms);
    AssertDenied(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountRuns());
  }

  /// A write of a transaction is deferred while no replica is known to follow.
  void KeyTakenAwayWhileTheStatementIsDeferredNothingRuns()
  {
    const auto caller = OpenTransaction();
    mFake->At("b").mLosesAllAnswers = true;
    mFake->At("c").mLosesAllAnswers = true;
    mFake->Run(1500ms);
    const auto before = CountRuns();
    caller->Send("WRITE 2 y");
    mFake->Run(10ms);
    CPPUNIT_ASSERT(!caller->IsAnswered());
    TakeAway("key-1");
    mFake->At("b").mLosesAllAnswers = false;
    mFake->At("c").mLosesAllAnswers = false;
    mFake->Run(900ms);
    AssertDenied(*caller);
    CPPUNIT_ASSERT_EQUAL(before, CountRuns());
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountArrived(CommandType::Rollback));
  }

  /// The first attempt was sent while the key was known; its answer may come.
  void KeyTakenAwayBeforeTheHedgeNothingMoreIsSent()
  {
    RelayRoute route;
    route.mDatabase = "db";
    route.mGroup = "g";
    route.mFreshness = Freshness::BoundedStaleness;
    route.mMaxAge = 1500ms;
    mFake->SetRoute(route);
    const auto warm = mFake->Connect("db", "key-3");
    for (int n = 0; n < 5; ++n) {
      warm->Send("READ 1");
      mFake->Run(40ms);
    }
    for (const auto* it : { "a", "b", "c" }) {
      mFake->At(it).mLosesAnswers = true;
    }
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("READ 2");
    mFake->Run(10ms);
    const auto before = CountRuns();
    TakeAway("key-1");
    mFake->Run(500ms);
    CPPUNIT_ASSERT_EQUAL(before, CountRuns());
  }

  void RoutePublicNeedsNoKey()
  {
    SetRoutePublic(true);
    const auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(40ms);
    CPPUNIT_ASSERT(caller->IsAnswered() && !caller->LastError());
    SetRoutePublic(false);
    caller->Send("WRITE 2 y");
    AssertDenied(*caller);
  }

  void RouteNoLongerPublicAppliesFromTheNextTransaction()
  {
    SetRoutePublic(true);
    const auto caller = mFake->Connect();
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFake->Run(40ms);
    SetRoutePublic(false);
    caller->Send("COMMIT");
    mFake->Run(40ms);
    CPPUNIT_ASSERT(caller->IsAnswered() && !caller->LastError());
    caller->Send("BEGIN");
    AssertDenied(*caller);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestClientAccounts);
