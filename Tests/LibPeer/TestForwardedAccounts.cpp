#include "SimulatedFleet.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Statements of callers with keys that run at another instance.
class TestForwardedAccounts : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestForwardedAccounts);
  CPPUNIT_TEST(StatementForwardedRunsAndItsKeyIsWrittenNowhere);
  CPPUNIT_TEST(StatementOfAnOlderInstanceIsDeclined);
  CPPUNIT_TEST(StatementOfAnOlderInstanceOnAPublicRouteRuns);
  CPPUNIT_TEST(AccountDroppedAtTheHomeItsStatementDoesNotRun);
  CPPUNIT_TEST(AccountDroppedWhileTheStatementWaitsItDoesNotRun);
  CPPUNIT_TEST(KeyTakenAwayTransactionAtTheHomeIsRolledBack);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kKey = "5b1c-key-of-meadow";

  std::string mWritten;
  std::unique_ptr<SimulatedFleet> mFleet;

  static std::vector<ClientAccount> OneAccount()
  {
    return { { "meadow", 1, std::nullopt, { kKey } } };
  }

  SimulatedFleet::Instance& Home()
  {
    return mFleet->At(mFleet->Plan().mRanked.front().mName);
  }

  /// Lets a home run a statement that carries no account, and returns its
  /// answer.
  ForwardAnswer RunWithoutAccount(const RelayRoute& aRoute)
  {
    ForwardAnswer answer;
    const auto session =
      Home().mServer->Accept([&](const PeerMessage& aMessage) {
        if (const auto* it = std::get_if<ForwardAnswer>(&aMessage)) {
          answer = *it;
        }
      });
    CPPUNIT_ASSERT(
      !session->Handle(PeerHello{ PeerHello::kVersion, "old", 0 }).IsError());
    ForwardStatement statement;
    statement.mCall = 1;
    statement.mStatement = { "r1", StatementType::Write, "WRITE 1 x", {}, {} };
    statement.mRoute = aRoute;
    statement.mRoute.mIsPublic = false;
    statement.mAccess = Access::Write;
    CPPUNIT_ASSERT(!session->Handle(statement).IsError());
    mFleet->Run(100ms);
    return answer;
  }

public:
  void setUp() override
  {
    mFleet = std::make_unique<SimulatedFleet>(
      20, std::vector<std::string>{ "d1", "d2", "d3", "d4" });
    mFleet->SetAccounts(OneAccount());
  }

  void StatementForwardedRunsAndItsKeyIsWrittenNowhere()
  {
    mFleet->mOnWritten = [this](const std::string& it) {
      mWritten += it + "\n";
    };
    auto& entry = mFleet->NonHome();
    const auto caller = mFleet->Connect(entry, Freshness::Latest, kKey);
    for (const auto* it : { "BEGIN", "WRITE 1 x", "COMMIT", "READ 1" }) {
      caller->Send(it);
      mFleet->Run(100ms);
      CPPUNIT_ASSERT(caller->IsAnswered() && !caller->LastError());
    }
    const auto denied = mFleet->Connect(entry, Freshness::Latest, "no-key");
    denied->Send("READ 1");
    CPPUNIT_ASSERT(entry.mCounts.mForwarded > 0);
    CPPUNIT_ASSERT(mWritten.find("meadow") != std::string::npos);
    for (const auto* it : { "a", "b", "c" }) {
      for (const auto& command : mFleet->Databases().At(it).mArrived) {
        mWritten +=
          command.mId + command.mText + command.mName + command.mValue + "\n";
      }
    }
    CPPUNIT_ASSERT(mWritten.find(kKey) == std::string::npos);
    CPPUNIT_ASSERT(mWritten.find("no-key") == std::string::npos);
  }

  void StatementOfAnOlderInstanceIsDeclined()
  {
    const auto answer =
      RunWithoutAccount(*Home().mRouter->Configuration()->FindRoute("db"));
    CPPUNIT_ASSERT(answer.mIsDeclined);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("WRITE 1 x"));
  }

  void StatementOfAnOlderInstanceOnAPublicRouteRuns()
  {
    auto configuration = *Home().mRouter->Configuration();
    ++configuration.mVersion;
    configuration.mRoutes.front().mIsPublic = true;
    Home().mRouter->ApplyConfigurationIfNewer(configuration);
    const auto answer = RunWithoutAccount(configuration.mRoutes.front());
    CPPUNIT_ASSERT(!answer.mIsDeclined && !answer.mAnswer.mError);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mFleet->CountRuns("WRITE 1 x"));
  }

  /// The instance of the caller has not received the new configuration yet.
  void AccountDroppedAtTheHomeItsStatementDoesNotRun()
  {
    auto& entry = mFleet->NonHome();
    const auto caller = mFleet->Connect(entry, Freshness::Latest, kKey);
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      if (&mFleet->At(n) != &entry) {
        SimulatedFleet::SetAccounts(mFleet->At(n), {});
      }
    }
    caller->Send("WRITE 1 x");
    mFleet->Run(300ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::AuthorityExpired);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("WRITE 1 x"));
  }

  void AccountDroppedWhileTheStatementWaitsItDoesNotRun()
  {
    mFleet->Run(500ms);
    for (const auto* it : { "a", "b", "c" }) {
      mFleet->Databases().At(it).mRefusal = ErrorKind::QueueFull;
      mFleet->Databases().At(it).mRefusals = 1000;
    }
    const auto caller =
      mFleet->Connect(mFleet->NonHome(), Freshness::Latest, kKey);
    caller->Send("WRITE 1 x");
    mFleet->Run(30ms);
    CPPUNIT_ASSERT(!caller->IsAnswered());
    mFleet->SetAccounts({});
    for (const auto* it : { "a", "b", "c" }) {
      mFleet->Databases().At(it).mRefusals = 0;
    }
    mFleet->Run(300ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::AuthorityExpired);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mFleet->CountRuns("WRITE 1 x"));
  }

  void KeyTakenAwayTransactionAtTheHomeIsRolledBack()
  {
    const auto caller =
      mFleet->Connect(mFleet->NonHome(), Freshness::Latest, kKey);
    caller->Send("BEGIN");
    caller->Send("WRITE 1 x");
    mFleet->Run(200ms);
    CPPUNIT_ASSERT(caller->IsAnswered() && !caller->LastError());
    mFleet->SetAccounts({});
    caller->Send("COMMIT");
    mFleet->Run(50ms);
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::AuthenticationFailed);
    size_t rollbacks = 0;
    for (const auto* it : { "a", "b", "c" }) {
      rollbacks += static_cast<size_t>(
        std::ranges::count(mFleet->Databases().At(it).mArrived,
                           CommandType::Rollback,
                           &UpstreamCommand::mType));
    }
    CPPUNIT_ASSERT_EQUAL(size_t(1), rollbacks);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestForwardedAccounts);
