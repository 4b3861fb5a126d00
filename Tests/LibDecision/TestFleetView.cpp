#include "LibDecision/FleetView.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestFleetView : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestFleetView);
  CPPUNIT_TEST(NothingListedCountIsUnknown);
  CPPUNIT_TEST(InstanceThatAnnouncesItselfCounts);
  CPPUNIT_TEST(InstanceSilentForThreeIntervalsIsGone);
  CPPUNIT_TEST(InstanceRemovedFromTheListIsGone);
  CPPUNIT_TEST(FleetOfThousandsWritesNoMoreOften);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Instant kStart = Instant(1h);

public:
  void NothingListedCountIsUnknown()
  {
    CPPUNIT_ASSERT_EQUAL(0U, FleetView().Count(kStart));
  }

  void InstanceThatAnnouncesItselfCounts()
  {
    FleetView view;
    for (int n = 0; n < 20; ++n) {
      view.Observe({ { "a", n }, { "b", 2 * n } }, kStart + n * 20s);
    }
    CPPUNIT_ASSERT_EQUAL(2U, view.Count(kStart + 400s));
  }

  void InstanceSilentForThreeIntervalsIsGone()
  {
    FleetView view;
    view.Observe({ { "a", 1 }, { "b", 1 } }, kStart);
    view.Observe({ { "a", 2 }, { "b", 1 } }, kStart + 50s);
    CPPUNIT_ASSERT_EQUAL(2U, view.Count(kStart + 59s));
    CPPUNIT_ASSERT_EQUAL(1U, view.Count(kStart + 60s));
  }

  void InstanceRemovedFromTheListIsGone()
  {
    FleetView view;
    view.Observe({ { "a", 1 }, { "b", 1 } }, kStart);
    view.Observe({ { "b", 1 } }, kStart + 1s);
    CPPUNIT_ASSERT_EQUAL(1U, view.Count(kStart + 1s));
  }

  /// 4,600 instances, and a store that takes some hundred writes a second.
  void FleetOfThousandsWritesNoMoreOften()
  {
    FleetView view;
    std::vector<FleetEntry> entries;
    for (int n = 0; n < 4600; ++n) {
      entries.push_back({ std::to_string(n), 1 });
    }
    view.Observe(entries, kStart);
    const std::chrono::duration<double> interval = view.RefreshInterval(kStart);
    CPPUNIT_ASSERT(4600 / interval.count() <= 50.5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFleetView);
