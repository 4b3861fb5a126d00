#include "SimulatedFleet.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Statements at an instance that is not home to the group, while homes report
/// how long statements are expected to wait there.
class TestExpectedWaits : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestExpectedWaits);
  CPPUNIT_TEST(HomeWithALongWaitKeepsAPartAndTheRestIsServedElsewhere);
  CPPUNIT_TEST(NoHomeCanServeInTimeStatementsAreRefusedAtOnce);
  CPPUNIT_TEST(FewAreSentSoThatRecoveryIsLearned);
  CPPUNIT_TEST(OldNewsExpire);
  CPPUNIT_TEST(WaitWithinTheTimeoutChangesNothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kStatements = 64;

  using Callers = std::vector<std::unique_ptr<FakeUpstreams::Caller>>;

  std::unique_ptr<SimulatedFleet> mFleet;
  SimulatedFleet::Instance* mEntry = nullptr;
  /// The home that serves the entry's statements.
  std::string mPreferred;

  const ForwardCounts& Counts() const { return mEntry->mCounts; }

  Callers SendAll()
  {
    Callers callers;
    for (size_t it = 0; it < kStatements; ++it) {
      callers.push_back(mFleet->Connect(*mEntry));
      callers.back()->Send("READ 1");
    }
    return callers;
  }

  static size_t CountRefused(const Callers& aCallers)
  {
    return std::ranges::count_if(aCallers, [](const auto& it) {
      return it->IsAnswered() && it->LastError() == ErrorKind::QueueFull;
    });
  }

  static size_t CountServed(const Callers& aCallers)
  {
    return std::ranges::count_if(aCallers, [](const auto& it) {
      return it->IsAnswered() && !it->LastError();
    });
  }

  /// Makes homes report a wait, and the entry learn of it.
  void TellWait(const std::vector<std::string>& aHomes, Duration aWait)
  {
    for (const auto& it : aHomes) {
      mFleet->At(it).mToldLoad = GroupLoad{ { aWait } };
    }
    // Each home reports with its first answer, after which statements go on to
    // the next.
    for (size_t it = 0; it < 4 * aHomes.size(); ++it) {
      const auto caller = mFleet->Connect(*mEntry);
      caller->Send("READ 1");
      mFleet->Run(20ms);
    }
  }

  std::vector<std::string> Homes()
  {
    const auto& plan = mFleet->Plan();
    std::vector<std::string> names;
    for (size_t it = 0; it < plan.mHomes; ++it) {
      names.push_back(plan.mRanked[it].mName);
    }
    return names;
  }

public:
  void setUp() override
  {
    mFleet = std::make_unique<SimulatedFleet>(
      20, std::vector<std::string>{ "d1", "d2", "d3", "d4" });
    mEntry = &mFleet->NonHome();
    mPreferred = mFleet->FindServingHome(*mEntry, "READ 1");
    CPPUNIT_ASSERT(!mPreferred.empty());
  }

  void HomeWithALongWaitKeepsAPartAndTheRestIsServedElsewhere()
  {
    TellWait({ mPreferred }, 2s);
    const auto before = mFleet->At(mPreferred).mServer->ServedCount();
    const auto callers = SendAll();
    mFleet->Run(300ms);
    CPPUNIT_ASSERT_EQUAL(kStatements, CountServed(callers));
    const auto kept = mFleet->At(mPreferred).mServer->ServedCount() - before;
    // About half, as the home can serve that in time.
    CPPUNIT_ASSERT(kept >= kStatements / 4);
    CPPUNIT_ASSERT(kept <= kStatements * 3 / 4);
    CPPUNIT_ASSERT(Counts().mMovedForWait >= kStatements - kept);
  }

  void NoHomeCanServeInTimeStatementsAreRefusedAtOnce()
  {
    TellWait(Homes(), 9s);
    const auto callers = SendAll();
    CPPUNIT_ASSERT(CountRefused(callers) >= kStatements * 3 / 4);
    CPPUNIT_ASSERT(Counts().mRefusedForWait >= kStatements * 3 / 4);
  }

  void FewAreSentSoThatRecoveryIsLearned()
  {
    TellWait(Homes(), 9s);
    for (const auto& it : Homes()) {
      mFleet->At(it).mToldLoad = GroupLoad{};
    }
    auto callers = SendAll();
    CPPUNIT_ASSERT(CountRefused(callers) < kStatements);
    mFleet->Run(100ms);
    callers = SendAll();
    mFleet->Run(300ms);
    CPPUNIT_ASSERT_EQUAL(kStatements, CountServed(callers));
  }

  void OldNewsExpire()
  {
    TellWait(Homes(), 9s);
    mFleet->Run(1100ms);
    const auto callers = SendAll();
    mFleet->Run(300ms);
    CPPUNIT_ASSERT_EQUAL(kStatements, CountServed(callers));
  }

  void WaitWithinTheTimeoutChangesNothing()
  {
    TellWait(Homes(), 900ms);
    const auto callers = SendAll();
    mFleet->Run(300ms);
    CPPUNIT_ASSERT_EQUAL(kStatements, CountServed(callers));
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Counts().mMovedForWait);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestExpectedWaits);
