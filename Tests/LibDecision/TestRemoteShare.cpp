#include "LibDecision/CrossRegionWindow.h"
#include "LibDecision/RemoteShare.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <ranges>

using namespace papayaline;
using namespace std::chrono_literals;

/// How many statements leave the nearest home, and how many the link to another
/// region takes.
class TestRemoteShare : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestRemoteShare);
  CPPUNIT_TEST(NearHomeWithinTheTargetKeepsEverything);
  CPPUNIT_TEST(SavingBelowThePriceKeepsEverything);
  CPPUNIT_TEST(FarHomeUnknownOnlyATrialLeaves);
  CPPUNIT_TEST(NextStatementsLeaveInTheShareDecided);
  CPPUNIT_TEST(HundredInstancesWithTheSameNewsSettle);
  CPPUNIT_TEST(HundredInstancesWithoutStepsSwing);
  CPPUNIT_TEST(DemandFallsEverythingReturns);
  CPPUNIT_TEST(LinkFullWindowShrinksUntilItIsNot);
  CPPUNIT_TEST(LinkFreeWindowGrowsWhileInUse);
  CPPUNIT_TEST_SUITE_END();

  static constexpr auto kTarget = 400ms;

  static double ShareAfter(const RemoteShareInput& aInput)
  {
    RemoteShare share;
    for (int n = 0; n < 100; ++n) {
      share.Update(aInput);
    }
    return share.Share();
  }

  /// Instances of one failure domain before its home, and a home in another
  /// domain. Each instance learns the answer times of a round, smoothed, at its
  /// end. Demand and capacity are in statements a second.
  struct Domain
  {
    static constexpr double kCapacity = 200;
    static constexpr double kRound = 0.25;
    static constexpr double kService = 0.03;
    static constexpr double kWay = 0.002;
    /// Statements that wait longer are refused.
    static constexpr double kMaxWait = 0.8;

    explicit Domain(const RemoteShareSettings& aSettings = {})
      : mInstances(100, RemoteShare(aSettings))
    {
    }

    std::vector<RemoteShare> mInstances;
    double mNear = kService;
    double mFar = kService;
    double mNearQueue = 0;
    double mFarQueue = 0;

    double MeanShare() const
    {
      return std::accumulate(
               mInstances.begin(),
               mInstances.end(),
               0.0,
               [](double aSum, const auto& it) { return aSum + it.Share(); }) /
             static_cast<double>(mInstances.size());
    }

    static double Advance(double& aQueue, double aDemand)
    {
      aQueue = std::clamp(
        aQueue + (aDemand - kCapacity) * kRound, 0.0, kCapacity * kMaxWait);
      return kService + aQueue / kCapacity;
    }

    void RunRound(double aDemand, double aFarDemand)
    {
      const auto share = MeanShare();
      const auto near = Advance(mNearQueue, aDemand * (1 - share));
      const auto far = Advance(mFarQueue, aFarDemand + aDemand * share) + kWay;
      mNear += (near - mNear) / 2;
      mFar += (far - mFar) / 2;
      const auto time = [](double aSeconds) {
        return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(aSeconds));
      };
      const RemoteShareInput input{ time(mNear), time(mFar), 20ms, kTarget };
      for (auto& it : mInstances) {
        it.Update(input);
      }
    }

    /// The shares of the given number of rounds.
    std::vector<double> Run(int aRounds, double aDemand, double aFarDemand)
    {
      std::vector<double> shares;
      for (int n = 0; n < aRounds; ++n) {
        RunRound(aDemand, aFarDemand);
        shares.push_back(MeanShare());
      }
      return shares;
    }
  };

public:
  void NearHomeWithinTheTargetKeepsEverything()
  {
    CPPUNIT_ASSERT_EQUAL(0.0, ShareAfter({ 190ms, 30ms, 20ms, kTarget }));
    CPPUNIT_ASSERT(ShareAfter({ 300ms, 30ms, 20ms, kTarget }) > 0.5);
  }

  void SavingBelowThePriceKeepsEverything()
  {
    CPPUNIT_ASSERT_EQUAL(0.0, ShareAfter({ 300ms, 230ms, 80ms, kTarget }));
    CPPUNIT_ASSERT(ShareAfter({ 300ms, 230ms, 20ms, kTarget }) > 0);
    CPPUNIT_ASSERT_EQUAL(
      Duration(60ms), PriceBeyond(Distance::SameRegion, Distance::OtherRegion));
    CPPUNIT_ASSERT_EQUAL(
      Duration(), PriceBeyond(Distance::OtherRegion, Distance::SameRegion));
  }

  void FarHomeUnknownOnlyATrialLeaves()
  {
    const auto share = ShareAfter({ 1s, std::nullopt, 20ms, kTarget });
    CPPUNIT_ASSERT_EQUAL(RemoteShareSettings().mMaxTrial, share);
  }

  void NextStatementsLeaveInTheShareDecided()
  {
    RemoteShare share;
    while (share.Share() < 0.4) {
      share.Update({ 1s, 30ms, 20ms, kTarget });
    }
    int left = 0;
    for (int n = 0; n < 1000; ++n) {
      left += share.TakeNext() ? 1 : 0;
    }
    CPPUNIT_ASSERT(std::abs(left - 1000 * share.Share()) <= 1);
  }

  /// Demand of one and a half times the capacity of the domain's home, and room
  /// in another domain. After half a minute the share is steady near the third
  /// that does not fit, nobody misses the target at home, and the far home has
  /// not been flooded.
  void HundredInstancesWithTheSameNewsSettle()
  {
    Domain domain;
    const auto shares = domain.Run(120, 300, 40);
    const auto highest = *std::ranges::max_element(shares);
    CPPUNIT_ASSERT(highest < 0.7);
    const auto last = domain.Run(40, 300, 40);
    const auto [low, high] = std::ranges::minmax(last);
    CPPUNIT_ASSERT(high - low < 0.05);
    CPPUNIT_ASSERT(low > 0.28 && high < 0.4);
    CPPUNIT_ASSERT(domain.mNear < 0.4 && domain.mFar < 0.2);
  }

  /// The counterpart: the world of the test before does show instances that all
  /// leave and come back when the share follows the error at once.
  void HundredInstancesWithoutStepsSwing()
  {
    RemoteShareSettings settings;
    settings.mMaxStep = 1;
    settings.mProportional = 20;
    Domain domain(settings);
    domain.Run(120, 300, 40);
    const auto last = domain.Run(40, 300, 40);
    const auto [low, high] = std::ranges::minmax(last);
    CPPUNIT_ASSERT(high - low > 0.5);
  }

  void DemandFallsEverythingReturns()
  {
    Domain domain;
    domain.Run(120, 300, 40);
    const auto back = domain.Run(60, 120, 40);
    CPPUNIT_ASSERT_EQUAL(0.0, back.back());
    CPPUNIT_ASSERT(
      std::ranges::is_sorted(back | std::views::drop(10), std::greater{}));
  }

  /// Packets wait at the link for 4 ms for each statement in flight beyond 20.
  void LinkFullWindowShrinksUntilItIsNot()
  {
    CrossRegionWindow window;
    unsigned highest = 0;
    for (int n = 0; n < 4000; ++n) {
      unsigned sent = 0;
      while (window.HasRoom()) {
        window.OnSent();
        ++sent;
      }
      const auto beyond = sent > 20 ? sent - 20 : 0;
      for (unsigned it = 0; it < sent; ++it) {
        window.OnAnswered(16ms + 10ms * (it % 5) + 4ms * beyond);
      }
      highest = std::max(highest, window.Window());
    }
    CPPUNIT_ASSERT(highest >= 20 && highest <= 40);
    CPPUNIT_ASSERT(window.Window() >= 10);
  }

  void LinkFreeWindowGrowsWhileInUse()
  {
    CrossRegionWindow window;
    const auto fill = [&] {
      unsigned sent = 0;
      for (; window.HasRoom(); ++sent) {
        window.OnSent();
      }
      for (; sent > 0; --sent) {
        window.OnAnswered(20ms);
      }
    };
    for (int n = 0; n < 100; ++n) {
      fill();
    }
    const auto grown = window.Window();
    CPPUNIT_ASSERT(grown > 10);
    // A statement at a time does not fill it any more.
    for (int n = 0; n < 1000; ++n) {
      window.OnSent();
      window.OnAnswered(20ms);
    }
    CPPUNIT_ASSERT(window.Window() <= grown + 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRemoteShare);
