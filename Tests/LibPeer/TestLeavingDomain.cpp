#include "SimulatedFleet.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Load patterns of a failure domain whose home bears less than its callers
/// ask for: which statements leave the domain, and what that does to callers.
class TestLeavingDomain : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestLeavingDomain);
  CPPUNIT_TEST(HomeHasRoomNothingLeaves);
  CPPUNIT_TEST(DomainPeaksAShareLeavesAndAnswersAreInTime);
  CPPUNIT_TEST(PeakEndsEverythingReturns);
  CPPUNIT_TEST(OneDomainNothingLeaves);
  CPPUNIT_TEST(LinkBetweenRegionsFullWhatMustCrossItIsInTime);
  CPPUNIT_TEST(HomesOfADomainDieReadsLeaveItAndReturn);
  CPPUNIT_TEST(DomainWithoutAWayOutStatementsStayAtItsHome);
  CPPUNIT_TEST_SUITE_END();

  using CallerPointer = std::unique_ptr<FakeUpstreams::Caller>;

  static constexpr Duration kTarget = RelayRoute().mTargetLatency;

  static constexpr Duration kThinkTime = 100ms;

  /// A caller that sends its next statement kThinkTime after it has an answer.
  struct BusyCaller
  {
    CallerPointer mCaller;
    Instant mSentAt;
    /// Empty while a statement is outstanding.
    std::optional<Instant> mNextAt = Instant{};
    Duration mLongest{};
    Duration mTotal{};
    int mAnswers = 0;
  };

  std::unique_ptr<SimulatedFleet> mFleet;
  std::vector<BusyCaller> mCallers;

  void Start(std::vector<std::string> aDomains, Topology aTopology = {})
  {
    mCallers.clear();
    mFleet = std::make_unique<SimulatedFleet>(
      20, std::move(aDomains), std::nullopt, std::move(aTopology));
  }

  /// The homes in a domain; there may be two.
  std::vector<SimulatedFleet::Instance*> HomesIn(const std::string& aDomain)
  {
    std::vector<SimulatedFleet::Instance*> homes;
    const auto& plan = mFleet->Plan();
    for (size_t n = 0; n < plan.mHomes; ++n) {
      if (plan.mRanked[n].mFailureDomain == aDomain) {
        homes.push_back(&mFleet->At(plan.mRanked[n].mName));
      }
    }
    return homes;
  }

  /// Makes the homes of a domain together bear one message each aTime.
  void LimitHomesIn(const std::string& aDomain, Duration aTime)
  {
    const auto homes = HomesIn(aDomain);
    for (auto* it : homes) {
      it->mMessageTime = aTime * homes.size();
    }
  }

  /// Callers at the instances of a domain that are not home to the group.
  void AddReaders(size_t aCount, const std::string& aDomain)
  {
    std::vector<SimulatedFleet::Instance*> entries;
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      auto& it = mFleet->At(n);
      if (it.mInfo.mFailureDomain == aDomain &&
          !mFleet->Plan().IsHome(it.mInfo.mName)) {
        entries.push_back(&it);
      }
    }
    for (size_t n = 0; n < aCount; ++n) {
      mCallers.push_back({ mFleet->Connect(*entries[n % entries.size()],
                                           Freshness::BoundedStaleness) });
    }
  }

  /// Runs and measures the answers of this span.
  void Run(Milliseconds aTime)
  {
    for (auto& it : mCallers) {
      it.mLongest = it.mTotal = {};
      it.mAnswers = 0;
    }
    const auto now = [this] { return mFleet->Databases().Now(); };
    for (const auto end = now() + aTime; now() < end;) {
      for (auto& it : mCallers) {
        if (!it.mCaller->IsAnswered()) {
          continue;
        }
        if (!it.mNextAt) {
          it.mTotal += now() - it.mSentAt;
          it.mLongest = std::max(it.mLongest, now() - it.mSentAt);
          ++it.mAnswers;
          it.mNextAt = now() + kThinkTime;
        }
        if (now() >= *it.mNextAt) {
          it.mCaller->Send("READ 1");
          it.mSentAt = now();
          it.mNextAt.reset();
        }
      }
      mFleet->Run(1ms);
    }
  }

  Duration MeanAnswerTime() const
  {
    Duration total{};
    int answers = 0;
    for (const auto& it : mCallers) {
      total += it.mTotal;
      answers += it.mAnswers;
    }
    return answers > 0 ? total / answers : Duration::max();
  }

  /// The statements that left the nearest home, over all instances.
  uint64_t LeftCount()
  {
    uint64_t left = 0;
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      left += mFleet->At(n).mCounts.mLeft;
    }
    return left;
  }

  /// Domains d1 and d2, which have databases, are in different regions.
  static Topology TwoRegions()
  {
    return Topology({ { "d1", "east" },
                      { "d2", "west" },
                      { "d3", "east" },
                      { "d4", "west" } });
  }

public:
  void HomeHasRoomNothingLeaves()
  {
    Start({ "d1", "d2", "d3", "d4" });
    LimitHomesIn("d1", 5ms);
    AddReaders(12, "d1");
    Run(5s);
    CPPUNIT_ASSERT(MeanAnswerTime() < kTarget / 2);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), LeftCount());
  }

  /// The home of the domain bears 50 statements a second; 30 callers
  /// ask for up to 300.
  void DomainPeaksAShareLeavesAndAnswersAreInTime()
  {
    Start({ "d1", "d2", "d3", "d4" });
    LimitHomesIn("d1", 20ms);
    AddReaders(30, "d1");
    Run(15s);
    Run(5s);
    CPPUNIT_ASSERT(MeanAnswerTime() < kTarget);
    CPPUNIT_ASSERT(LeftCount() > 0);
  }

  void PeakEndsEverythingReturns()
  {
    Start({ "d1", "d2", "d3", "d4" });
    LimitHomesIn("d1", 20ms);
    AddReaders(30, "d1");
    Run(10s);
    mCallers.resize(4);
    Run(15s);
    const auto left = LeftCount();
    Run(5s);
    CPPUNIT_ASSERT_EQUAL(left, LeftCount());
    CPPUNIT_ASSERT(MeanAnswerTime() < kTarget);
  }

  void OneDomainNothingLeaves()
  {
    Start({ "d1" });
    LimitHomesIn("d1", 20ms);
    AddReaders(30, "d1");
    Run(5s);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), LeftCount());
  }

  /// The link takes 200 messages a second. The home of d1 is overloaded, and
  /// statements that leave would fill the link. Writes must cross it, since the
  /// primary is in the other region.
  void LinkBetweenRegionsFullWhatMustCrossItIsInTime()
  {
    Start({ "d1", "d2" }, TwoRegions());
    LimitHomesIn("d1", 40ms);
    mFleet->mRegionMessageTime = 5ms;
    AddReaders(40, "d1");
    Run(15s);
    const auto writer = mFleet->Connect(mFleet->NonHome("d1"));
    Duration longest{};
    for (int n = 0; n < 5; ++n) {
      writer->Send("WRITE 1 x");
      const auto sentAt = mFleet->Databases().Now();
      while (!writer->IsAnswered()) {
        Run(1ms);
      }
      longest = std::max(longest, mFleet->Databases().Now() - sentAt);
      Run(1s);
    }
    CPPUNIT_ASSERT(LeftCount() > 0);
    CPPUNIT_ASSERT(longest < kTarget);
  }

  void HomesOfADomainDieReadsLeaveItAndReturn()
  {
    Start({ "d1", "d2", "d3", "d4" });
    auto& entry = mFleet->NonHome("d1");
    std::set<std::string> dead;
    for (const auto* it : HomesIn("d1")) {
      dead.insert(it->mInfo.mName);
    }
    std::ranges::for_each(dead, [&](const auto& it) { mFleet->Kill(it); });
    AddReaders(1, "d1");
    Run(2s);
    const auto served = [&](const std::string& aDomain) {
      uint64_t n = 0;
      for (size_t it = 0; it < mFleet->Size(); ++it) {
        n += mFleet->At(it).mInfo.mFailureDomain == aDomain
               ? mFleet->At(it).mServer->ServedCount()
               : 0;
      }
      return n;
    };
    CPPUNIT_ASSERT(served("d2") > 0);
    auto fleet = mFleet->ListInstances();
    std::erase_if(fleet,
                  [&](const auto& it) { return dead.contains(it.mName); });
    for (size_t it = 0; it < mFleet->Size(); ++it) {
      mFleet->SetFleet(mFleet->At(it), fleet);
    }
    Run(2s);
    const auto before = served("d2");
    Run(1s);
    CPPUNIT_ASSERT_EQUAL(before, served("d2"));
    CPPUNIT_ASSERT(served("d1") > 0);
    CPPUNIT_ASSERT(entry.mCounts.mForwarded > 0);
  }

  /// Statements that were tried elsewhere come back, and no more are sent.
  void DomainWithoutAWayOutStatementsStayAtItsHome()
  {
    Start({ "d1", "d2", "d3", "d4" });
    LimitHomesIn("d1", 20ms);
    AddReaders(30, "d1");
    Run(5s);
    mFleet->mCutDomains = { "d1" };
    Run(5s);
    const auto left = LeftCount();
    Run(5s);
    CPPUNIT_ASSERT_EQUAL(left, LeftCount());
    for (const auto& it : mCallers) {
      CPPUNIT_ASSERT(it.mAnswers > 0);
      CPPUNIT_ASSERT(!it.mCaller->LastError());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeavingDomain);
