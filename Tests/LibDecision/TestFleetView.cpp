#include "LibDecision/FleetView.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestFleetView : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestFleetView);
  CPPUNIT_TEST(NothingListedCountIsUnknown);
  CPPUNIT_TEST(InstanceThatAnnouncesItselfCounts);
  CPPUNIT_TEST(InstanceWithoutUpdateForThreeIntervalsIsGone);
  CPPUNIT_TEST(StoreUnavailableNoInstanceCountsAsGone);
  CPPUNIT_TEST(InstanceRemovedFromTheListIsGone);
  CPPUNIT_TEST(FleetOfThousandsWritesNoMoreOften);
  CPPUNIT_TEST(InstanceLostByARestoreOfTheStoreCountsUntilItExpires);
  CPPUNIT_TEST(ListOfAnEarlierEraChangesNothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Instant kStart = Instant(1h);

  static FleetEntry Entry(const std::string& aName,
                          int64_t aRevision,
                          uint64_t aEra = 0)
  {
    FleetEntry entry;
    entry.mInstance.mName = aName;
    entry.mRevision = { aEra, aRevision };
    return entry;
  }

public:
  void NothingListedCountIsUnknown()
  {
    CPPUNIT_ASSERT(FleetView().LiveInstances().empty());
  }

  void InstanceThatAnnouncesItselfCounts()
  {
    FleetView view;
    for (int n = 0; n < 20; ++n) {
      view.Observe({ Entry("a", n), Entry("b", 2 * n) }, 0, kStart + n * 20s);
    }
    CPPUNIT_ASSERT_EQUAL(size_t(2), view.LiveInstances().size());
  }

  void InstanceWithoutUpdateForThreeIntervalsIsGone()
  {
    FleetView view;
    view.Observe({ Entry("a", 1), Entry("b", 1) }, 0, kStart);
    view.Observe({ Entry("a", 2), Entry("b", 1) }, 0, kStart + 59s);
    CPPUNIT_ASSERT_EQUAL(size_t(2), view.LiveInstances().size());
    view.Observe({ Entry("a", 3), Entry("b", 1) }, 0, kStart + 60s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), view.LiveInstances().size());
  }

  /// The store is unavailable for longer than an entry may stay unchanged.
  void StoreUnavailableNoInstanceCountsAsGone()
  {
    FleetView view;
    view.Observe({ Entry("a", 1), Entry("b", 1) }, 0, kStart);
    view.Observe({ Entry("a", 2), Entry("b", 2) }, 0, kStart + 300s);
    CPPUNIT_ASSERT_EQUAL(size_t(2), view.LiveInstances().size());
  }

  void InstanceRemovedFromTheListIsGone()
  {
    FleetView view;
    view.Observe({ Entry("a", 1), Entry("b", 1) }, 0, kStart);
    view.Observe({ Entry("b", 1) }, 0, kStart + 1s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), view.LiveInstances().size());
  }

  /// Guards against a fleet that looks smaller than it is: each instance would
  /// open the connections of those that the restored store does not list.
  void InstanceLostByARestoreOfTheStoreCountsUntilItExpires()
  {
    FleetView view;
    view.Observe({ Entry("a", 1, 1), Entry("b", 9, 1) }, 1, kStart);
    view.Observe({ Entry("a", 1, 2) }, 2, kStart + 20s);
    CPPUNIT_ASSERT_EQUAL(size_t(2), view.LiveInstances().size());
    view.Observe({ Entry("a", 2, 2) }, 2, kStart + 60s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), view.LiveInstances().size());
  }

  void ListOfAnEarlierEraChangesNothing()
  {
    FleetView view;
    view.Observe({ Entry("a", 3, 2), Entry("b", 4, 2) }, 2, kStart);
    view.Observe({ Entry("a", 9, 1) }, 1, kStart + 1s);
    CPPUNIT_ASSERT_EQUAL(size_t(2), view.LiveInstances().size());
    view.Observe({ Entry("b", 5, 2) }, 2, kStart + 2s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), view.LiveInstances().size());
  }

  /// 4,600 instances share a store that accepts about a hundred writes per
  /// second.
  void FleetOfThousandsWritesNoMoreOften()
  {
    FleetView view;
    std::vector<FleetEntry> entries;
    for (int n = 0; n < 4600; ++n) {
      entries.push_back(Entry(std::to_string(n), 1));
    }
    view.Observe(entries, 0, kStart);
    const std::chrono::duration<double> interval = view.RefreshInterval();
    CPPUNIT_ASSERT(4600 / interval.count() <= 5.1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFleetView);
