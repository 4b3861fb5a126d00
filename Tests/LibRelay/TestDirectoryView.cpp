#include "LibRelay/DirectoryView.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestDirectoryView : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestDirectoryView);
  CPPUNIT_TEST(EarlierReportOfTheSameIncarnationChangesNothing);
  CPPUNIT_TEST(ReportOfAnotherIncarnationReplacesTheEntry);
  CPPUNIT_TEST(EntryListedAgainIsNotRemoved);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Instant kStart = Instant(1h);

  static DirectoryEntry Entry(int64_t aStartedMs,
                              int64_t aSequence,
                              bool aIsLeaving)
  {
    DirectoryEntry entry;
    entry.mGroup = "g";
    entry.mMember.mName = "a";
    entry.mMember.mStartedMs = aStartedMs;
    entry.mMember.mIsLeaving = aIsLeaving;
    entry.mSequence = aSequence;
    return entry;
  }

public:
  /// Guards against new work for a database that is leaving, after the store
  /// was restored from a copy in which it was not.
  void EarlierReportOfTheSameIncarnationChangesNothing()
  {
    DirectoryView view;
    view.Set(Entry(100, 7, true));
    view.Set(Entry(100, 4, false));
    CPPUNIT_ASSERT(view.Entries(kStart).front().mMember.mIsLeaving);
    view.Set(Entry(100, 8, false));
    CPPUNIT_ASSERT(!view.Entries(kStart).front().mMember.mIsLeaving);
  }

  /// The count starts anew, and the time of day may have been set back.
  void ReportOfAnotherIncarnationReplacesTheEntry()
  {
    for (const int64_t startedMs : { 99, 101 }) {
      DirectoryView view;
      view.Set(Entry(100, 7, true));
      view.Set(Entry(startedMs, 1, false));
      CPPUNIT_ASSERT(!view.Entries(kStart).front().mMember.mIsLeaving);
    }
  }

  void EntryListedAgainIsNotRemoved()
  {
    DirectoryView view;
    view.Set(Entry(100, 7, false));
    view.Retain({}, kStart);
    view.Set(Entry(100, 7, false));
    CPPUNIT_ASSERT_EQUAL(size_t(1), view.Entries(kStart + 1min).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectoryView);
