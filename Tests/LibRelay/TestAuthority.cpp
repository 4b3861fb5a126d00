#include "FakeUpstreams.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Statements on behalf of client accounts while the last confirmation of the
/// configuration grows old.
class TestAuthority : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestAuthority);
  CPPUNIT_TEST(ConfigurationNeverConfirmedNothingRuns);
  CPPUNIT_TEST(ConfirmationExpiredStatementsAreRefusedAtOnceUntilTheNext);
  CPPUNIT_TEST(ConfirmationOlderThanTheLastChangesNothing);
  CPPUNIT_TEST(ConfirmationExpiredPublicRoutesAreServed);
  CPPUNIT_TEST(ConfirmationExpiredTransactionIsRolledBack);
  CPPUNIT_TEST(ConfirmationExpiredBetweenRetriesNothingRuns);
  CPPUNIT_TEST(ConfirmationExpiredWhileDeferredNothingRuns);
  CPPUNIT_TEST(ProcessSuspendedItsQueuedStatementDoesNotRun);
  CPPUNIT_TEST(ProcessSuspendedInABeginItsStatementDoesNotRun);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Milliseconds kLimit = 2000ms;

  std::unique_ptr<FakeUpstreams> mFake;

  void Confirm() { mFake->Router().ConfirmConfiguration(mFake->Now()); }

  size_t CountRuns() const
  {
    size_t n = 0;
    for (const auto* it : { "a", "b", "c" }) {
      n += mFake->At(it).mRan.size();
    }
    return n;
  }

  static void AssertExpired(const FakeUpstreams::Caller& aCaller)
  {
    CPPUNIT_ASSERT(aCaller.IsAnswered());
    CPPUNIT_ASSERT(aCaller.LastError() == ErrorKind::AuthorityExpired);
  }

  void AssertRuns(FakeUpstreams::Caller& aCaller, const std::string& aText)
  {
    aCaller.Send(aText);
    mFake->Run(60ms);
    CPPUNIT_ASSERT(aCaller.IsAnswered() && !aCaller.LastError());
  }

  size_t CountLogged(const std::string& aEvent) const
  {
    return static_cast<size_t>(std::ranges::count(mFake->mLog, aEvent));
  }

public:
  void setUp() override
  {
    mFake = std::make_unique<FakeUpstreams>(
      Acknowledgement::Majority, nullptr, kLimit);
    mFake->SetAccounts({ { "meadow", 1, std::nullopt, { "key-1" } } });
  }
  void tearDown() override { mFake.reset(); }

  void ConfigurationNeverConfirmedNothingRuns()
  {
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("READ 1");
    AssertExpired(*caller);
    CPPUNIT_ASSERT(!mFake->Router().HasAuthority());
    mFake->Run(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountRuns());
  }

  void ConfirmationExpiredStatementsAreRefusedAtOnceUntilTheNext()
  {
    Confirm();
    const auto caller = mFake->Connect("db", "key-1");
    AssertRuns(*caller, "WRITE 1 x");
    mFake->Run(kLimit);
    caller->Send("READ 1");
    AssertExpired(*caller);
    CPPUNIT_ASSERT(!mFake->Router().HasAuthority());
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountLogged("authority.lost"));
    Confirm();
    CPPUNIT_ASSERT(mFake->Router().HasAuthority());
    AssertRuns(*caller, "READ 1");
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountLogged("authority.regained"));
  }

  void ConfirmationOlderThanTheLastChangesNothing()
  {
    Confirm();
    mFake->Router().ConfirmConfiguration(mFake->Now() - kLimit);
    CPPUNIT_ASSERT(mFake->Router().AuthorityAge() == Duration::zero());
  }

  void ConfirmationExpiredPublicRoutesAreServed()
  {
    RelayRoute route;
    route.mDatabase = "db";
    route.mGroup = "g";
    route.mIsPublic = true;
    mFake->SetRoute(route);
    const auto caller = mFake->Connect();
    AssertRuns(*caller, "WRITE 1 x");
  }

  void ConfirmationExpiredTransactionIsRolledBack()
  {
    Confirm();
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("BEGIN");
    AssertRuns(*caller, "WRITE 1 x");
    const auto before = CountRuns();
    mFake->Run(kLimit);
    caller->Send("COMMIT");
    AssertExpired(*caller);
    mFake->Run(50ms);
    CPPUNIT_ASSERT_EQUAL(before, CountRuns());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1),
                         std::ranges::count(mFake->At("a").mArrived,
                                            CommandType::Rollback,
                                            &UpstreamCommand::mType));
  }

  void ConfirmationExpiredBetweenRetriesNothingRuns()
  {
    Confirm();
    mFake->Run(kLimit - 20ms);
    mFake->At("a").mRefusal = ErrorKind::QueueFull;
    mFake->At("a").mRefusals = 3;
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("WRITE 1 x");
    mFake->Run(15ms);
    CPPUNIT_ASSERT(!caller->IsAnswered());
    mFake->Run(200ms);
    AssertExpired(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountRuns());
  }

  void ConfirmationExpiredWhileDeferredNothingRuns()
  {
    Confirm();
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("BEGIN");
    AssertRuns(*caller, "WRITE 1 x");
    const auto before = CountRuns();
    mFake->At("b").mLosesAllAnswers = true;
    mFake->At("c").mLosesAllAnswers = true;
    mFake->Run(kLimit - 200ms);
    caller->Send("WRITE 2 y");
    mFake->Run(300ms);
    CPPUNIT_ASSERT(!caller->IsAnswered());
    mFake->At("b").mLosesAllAnswers = false;
    mFake->At("c").mLosesAllAnswers = false;
    mFake->Run(700ms);
    AssertExpired(*caller);
    CPPUNIT_ASSERT_EQUAL(before, CountRuns());
  }

  /// A connection for it opens meanwhile.
  void ProcessSuspendedItsQueuedStatementDoesNotRun()
  {
    Confirm();
    for (const auto* it : { "a", "b", "c" }) {
      mFake->ResetConnections(it);
    }
    const auto caller = mFake->Connect("db", "key-1");
    caller->Send("WRITE 1 x");
    CPPUNIT_ASSERT(!caller->IsAnswered());
    mFake->Suspend(kLimit);
    mFake->Run(100ms);
    AssertExpired(*caller);
    CPPUNIT_ASSERT_EQUAL(size_t(0), CountRuns());
  }

  /// Shorter than what makes the evidence too old or the primary suspected.
  void ProcessSuspendedInABeginItsStatementDoesNotRun()
  {
    constexpr Milliseconds kSuspension = 250ms;
    Confirm();
    mFake->Run(kLimit - kSuspension - 60ms);
    const auto caller = mFake->Connect("db", "key-1");
    AssertRuns(*caller, "WRITE 1 x");
    const auto before = CountRuns();
    caller->Send("BEGIN");
    caller->Send("WRITE 2 y");
    CPPUNIT_ASSERT(!caller->IsAnswered());
    mFake->Suspend(kSuspension);
    mFake->Run(30ms);
    AssertExpired(*caller);
    CPPUNIT_ASSERT_EQUAL(before, CountRuns());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAuthority);
