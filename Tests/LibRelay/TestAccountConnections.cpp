#include "FakeUpstreams.h"

#include "platform/LineCallerProtocol.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Tests on whose connections the statements of client accounts run.
class TestAccountConnections : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestAccountConnections);
  CPPUNIT_TEST(StatementsRunOnConnectionsOfTheirAccount);
  CPPUNIT_TEST(MoreAccountsThanConnectionsAreAllServed);
  CPPUNIT_TEST(TransactionOfAnotherAccountIsRolledBack);
  CPPUNIT_TEST(StatusIsRequestedOnConnectionsOfAnyAccount);
  CPPUNIT_TEST(ConnectionsOfAnAccountThatIsGoneAreClosed);
  CPPUNIT_TEST(ReadWaitsForAConnectionToItsReplica);
  CPPUNIT_TEST(SessionValuesOnAReusedConnectionAreThoseOfItsSession);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<FakeUpstreams> mFake;

  using CallerPointer = std::unique_ptr<FakeUpstreams::Caller>;

  static std::string AccountName(size_t aIndex)
  {
    return "account" + std::to_string(aIndex);
  }

  /// Configures accounts and connects a caller of each.
  std::vector<CallerPointer> ConnectAccounts(size_t aCount) const
  {
    std::vector<ClientAccount> accounts(aCount);
    for (size_t n = 0; n < aCount; ++n) {
      accounts[n].mName = AccountName(n);
      accounts[n].mKeys = { "key" + std::to_string(n) };
    }
    mFake->SetAccounts(accounts);
    std::vector<CallerPointer> callers;
    for (const auto& it : accounts) {
      callers.push_back(mFake->Connect("db", it.mKeys.front()));
    }
    return callers;
  }

  /// Whether each statement at a database ran on a connection of the account
  /// that its text ends with.
  void CheckAccounts(const std::string& aName) const
  {
    const auto& database = mFake->At(aName);
    for (size_t n = 0; n < database.mRan.size(); ++n) {
      CPPUNIT_ASSERT(database.mRan[n].ends_with(" " + database.mRanFor[n]));
    }
  }

public:
  void setUp() override { mFake = std::make_unique<FakeUpstreams>(); }
  void tearDown() override { mFake.reset(); }

  void StatementsRunOnConnectionsOfTheirAccount()
  {
    const auto callers = ConnectAccounts(3);
    for (int round = 0; round < 5; ++round) {
      for (size_t n = 0; n < callers.size(); ++n) {
        callers[n]->Send("WRITE 1 " + AccountName(n));
      }
      mFake->Run(100ms);
      for (const auto& it : callers) {
        CPPUNIT_ASSERT(it->IsAnswered() && !it->LastError());
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t(15), mFake->At("a").mRan.size());
    CheckAccounts("a");
  }

  /// Each instance may hold a third of 22 connections.
  void MoreAccountsThanConnectionsAreAllServed()
  {
    const auto callers = ConnectAccounts(30);
    for (int round = 0; round < 3; ++round) {
      for (size_t n = 0; n < callers.size(); ++n) {
        callers[n]->Send("WRITE 1 " + AccountName(n));
      }
      mFake->Run(600ms);
      for (const auto& it : callers) {
        CPPUNIT_ASSERT(it->IsAnswered() && !it->LastError());
      }
    }
    CPPUNIT_ASSERT(mFake->At("a").mConnections <= 22);
    CheckAccounts("a");
  }

  void TransactionOfAnotherAccountIsRolledBack()
  {
    mFake->SetAccounts({ { "one", 0, std::nullopt, { "key-1" } },
                         { "other", 0, std::nullopt, { "key-2" } } });
    RelayRequest request;
    request.mStatement = platform::ParseStatement("r", "WRITE 1 one").Value();
    request.mSession = std::make_shared<SessionState>();
    request.mRoute = mFake->Configuration().mRoutes.front();
    request.mAuthority.mAccount = "one";
    request.mAccess = Access::Write;
    request.mMode = TransactionMode::ReadWrite;
    request.mStartedAt = request.mReceivedAt = mFake->Now();
    RelayOutcome outcome;
    const auto keep = [&](const RelayOutcome& aOutcome) { outcome = aOutcome; };
    mFake->Group().Submit(request, keep);
    mFake->Run(50ms);
    CPPUNIT_ASSERT(outcome.mTransaction);
    request.mAuthority.mAccount = "other";
    mFake->Group().Continue(outcome.mTransaction, request, keep);
    mFake->Run(50ms);
    CPPUNIT_ASSERT(outcome.mAnswer.mError);
    const auto& primary = mFake->At("a");
    CPPUNIT_ASSERT_EQUAL(size_t(1), primary.mRan.size());
    CPPUNIT_ASSERT(primary.mArrived.back().mType == CommandType::Rollback);
  }

  /// Otherwise status requests would need connections of their own, of which
  /// there are few.
  void StatusIsRequestedOnConnectionsOfAnyAccount()
  {
    const auto callers = ConnectAccounts(1);
    callers.front()->Send("READ 1");
    mFake->Run(50ms);
    auto& primary = mFake->At("a");
    primary.mOpenedFor.clear();
    mFake->ResetConnections("a");
    mFake->Run(500ms);
    callers.front()->Send("READ 1");
    const auto arrived = primary.mArrived.size();
    mFake->Run(3s);
    CPPUNIT_ASSERT(primary.mArrived.size() > arrived + 1);
    CPPUNIT_ASSERT(std::ranges::all_of(
      primary.mOpenedFor, [](auto& it) { return it == AccountName(0); }));
  }

  void ConnectionsOfAnAccountThatIsGoneAreClosed()
  {
    const auto callers = ConnectAccounts(3);
    for (const auto& it : callers) {
      it->Send("WRITE 1 x");
    }
    mFake->Run(100ms);
    auto& primary = mFake->At("a");
    CPPUNIT_ASSERT(primary.mConnections >= 3);
    ClientAccount remaining;
    remaining.mName = AccountName(0);
    remaining.mKeys = { "key0" };
    mFake->SetAccounts({ remaining });
    mFake->Run(50ms);
    // One of the remaining account, and the first one of the pool.
    CPPUNIT_ASSERT(primary.mConnections <= 2);
  }

  /// Its account has a connection to the primary, whose slots writes need.
  void ReadWaitsForAConnectionToItsReplica()
  {
    auto route = mFake->Configuration().mRoutes.front();
    route.mFreshness = Freshness::BoundedStaleness;
    route.mMaxAge = 1500ms;
    mFake->SetRoute(route);
    const auto callers = ConnectAccounts(1);
    callers.front()->Send("WRITE 1 x");
    mFake->Run(100ms);
    callers.front()->Send("READ 1");
    mFake->Run(100ms);
    CPPUNIT_ASSERT(callers.front()->IsAnswered());
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFake->At("b").mRan.size());
  }

  void SessionValuesOnAReusedConnectionAreThoseOfItsSession()
  {
    const auto callers = ConnectAccounts(2);
    for (int round = 0; round < 3; ++round) {
      for (size_t n = 0; n < callers.size(); ++n) {
        callers[n]->Send("SET v " + AccountName(n));
        callers[n]->Send("WRITE 1 " + AccountName(n));
        mFake->Run(50ms);
        CPPUNIT_ASSERT(!callers[n]->LastError());
      }
    }
    // One for each connection; no reset, since they are not shared.
    const auto count = [&](CommandType aType) {
      return std::ranges::count(
        mFake->At("a").mArrived, aType, &UpstreamCommand::mType);
    };
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), count(CommandType::SetValue));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), count(CommandType::Reset));
    CheckAccounts("a");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAccountConnections);
