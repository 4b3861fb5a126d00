#include "SimulatedFleet.h"

#include "LibDecision/WatchPlan.h"
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Instances that watch the store through a few watchers.
class TestSharedWatches : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestSharedWatches);
  CPPUNIT_TEST(FleetIdleFewInstancesCallTheStore);
  CPPUNIT_TEST(ChangeReachesAllInstances);
  CPPUNIT_TEST(ObjectRemovedReachesAllInstances);
  CPPUNIT_TEST(WatchersKilledChangeReachesAllOthers);
  CPPUNIT_TEST(WatchersFrozenChangeReachesAllOthers);
  CPPUNIT_TEST(ConnectedWatchersFrozenChangeReachesAllOthers);
  CPPUNIT_TEST(WatchersFrozenChangeReachesInstancesWithLateTicks);
  CPPUNIT_TEST(WatchersRefusedByTheStoreChangeReachesAllInstances);
  CPPUNIT_TEST(WatchersUnansweredByTheStoreChangeReachesAllInstances);
  CPPUNIT_TEST(ChangeAfterStoreOutageReachesAllInstances);
  CPPUNIT_TEST(MirrorIgnoresOlderRevisions);
  CPPUNIT_TEST(MirrorMovesToALaterEraByAListOnly);
  CPPUNIT_TEST(MirrorReportsDeletionsAndDropsOldTombstones);
  CPPUNIT_TEST_SUITE_END();

  /// Time in which a change must reach all instances: the strictest requirement
  /// of all deployments of this size.
  static constexpr auto kMaxPropagationTime = 5000ms;
  inline static const QString kKind = "things";

  /// The objects that one instance knows from a list and a series of watches.
  struct Follower
  {
    std::map<QString, QString> mContents;
    StoreRevision mRevision;
    bool mHasDecreased = false;

    void Apply(const ObjectBatch& aBatch)
    {
      mHasDecreased |= aBatch.mStoreRevision < mRevision;
      mRevision = std::max(mRevision, aBatch.mStoreRevision);
      for (const auto& it : aBatch.mObjects) {
        if (it.mIsDeleted) {
          mContents.erase(it.mName);
        } else {
          mContents[it.mName] = it.mContent.toString();
        }
      }
    }
  };

  std::unique_ptr<SimulatedFleet> mFleet;
  std::vector<std::shared_ptr<Follower>> mFollowers;

  static void List(SharedObjectStore& aStore,
                   const std::shared_ptr<Follower>& aFollower)
  {
    aStore.List(kKind, [&aStore, aFollower](const Result<ObjectBatch>& aBatch) {
      if (aBatch.IsError()) {
        List(aStore, aFollower);
        return;
      }
      aFollower->mContents.clear();
      aFollower->Apply(aBatch.Value());
      Watch(aStore, aFollower);
    });
  }

  static void Watch(SharedObjectStore& aStore,
                    const std::shared_ptr<Follower>& aFollower)
  {
    aStore.Watch(kKind,
                 aFollower->mRevision,
                 4000,
                 [&aStore, aFollower](const Result<ObjectBatch>& aBatch) {
                   if (!aBatch.IsError()) {
                     aFollower->Apply(aBatch.Value());
                   }
                   Watch(aStore, aFollower);
                 });
  }

  FakeStore& StoreOf(size_t aIndex) { return *mFleet->At(aIndex).mDirectStore; }

  bool IsWatcher(size_t aIndex)
  {
    return PlanWatches(mFleet->At(aIndex).mInfo, mFleet->ListInstances())
      .mIsWatcher;
  }

  template<typename Use>
  void ForEachWatcher(Use aUse)
  {
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      if (IsWatcher(n)) {
        aUse(n);
      }
    }
  }

  size_t Calls()
  {
    size_t calls = 0;
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      calls += StoreOf(n).mCalls;
    }
    return calls;
  }

  void AssertAllHave(const QString& aContent)
  {
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      if (mFleet->At(n).mIsAlive &&
          mFleet->At(n).mFrozenUntil < mFleet->Databases().Now()) {
        CPPUNIT_ASSERT(mFollowers[n]->mContents["main"] == aContent);
      }
    }
    for (const auto& it : mFollowers) {
      CPPUNIT_ASSERT(!it->mHasDecreased);
    }
  }

public:
  void setUp() override
  {
    mFleet = std::make_unique<SimulatedFleet>(
      60, std::vector<std::string>{ "d1", "d2", "d3" });
    StoreOf(0).Set("main", "first");
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      mFollowers.push_back(std::make_shared<Follower>());
      List(*mFleet->At(n).mStore, mFollowers.back());
    }
    mFleet->Run(2500ms);
  }

  void tearDown() override
  {
    mFleet.reset();
    mFollowers.clear();
  }

  /// The fleet has 60 instances, with two watchers in each of three failure
  /// domains.
  void FleetIdleFewInstancesCallTheStore()
  {
    const auto before = Calls();
    mFleet->Run(20s);
    CPPUNIT_ASSERT(Calls() - before <= 6 * 10 + 6);
  }

  void ChangeReachesAllInstances()
  {
    StoreOf(0).Set("main", "second");
    mFleet->Run(100ms);
    AssertAllHave("second");
  }

  void ObjectRemovedReachesAllInstances()
  {
    StoreOf(0).Remove("main");
    mFleet->Run(100ms);
    for (const auto& it : mFollowers) {
      CPPUNIT_ASSERT(!it->mContents.contains("main"));
    }
  }

  void WatchersKilledChangeReachesAllOthers()
  {
    ForEachWatcher([&](size_t n) { mFleet->Kill(mFleet->At(n).mInfo.mName); });
    StoreOf(0).Set("main", "second");
    mFleet->Run(kMaxPropagationTime);
    AssertAllHave("second");
  }

  void WatchersFrozenChangeReachesAllOthers()
  {
    ForEachWatcher(
      [&](size_t n) { mFleet->Freeze(mFleet->At(n).mInfo.mName, 20s); });
    StoreOf(0).Set("main", "second");
    mFleet->Run(kMaxPropagationTime);
    AssertAllHave("second");
    mFleet->Run(20s);
    AssertAllHave("second");
  }

  /// Guards against a configuration that is late because an instance waits for
  /// one silent source after the other.
  void ConnectedWatchersFrozenChangeReachesAllOthers()
  {
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      ForEachWatcher([&](size_t watcher) {
        if (watcher != n) {
          WatchObjects list;
          list.mKind = kKind.toStdString();
          mFleet->At(n).mPeers->Watch(
            mFleet->At(watcher).mInfo.mName, list, [](const auto&) {});
        }
      });
    }
    mFleet->Run(100ms);
    WatchersFrozenChangeReachesAllOthers();
  }

  /// Guards against a configuration that is late because an instance that runs
  /// late never gives up on a silent source.
  void WatchersFrozenChangeReachesInstancesWithLateTicks()
  {
    mFleet->SetTickInterval(150ms);
    mFleet->Run(500ms);
    WatchersFrozenChangeReachesAllOthers();
  }

  void WatchersRefusedByTheStoreChangeReachesAllInstances()
  {
    ForEachWatcher([&](size_t n) { StoreOf(n).mIsRefusing = true; });
    StoreOf(0).Set("main", "second");
    mFleet->Run(kMaxPropagationTime);
    AssertAllHave("second");
  }

  /// The watches that wait at the store are never answered.
  void WatchersUnansweredByTheStoreChangeReachesAllInstances()
  {
    ForEachWatcher([&](size_t n) { StoreOf(n).mIsSilent = true; });
    StoreOf(0).Set("main", "second");
    mFleet->Run(kMaxPropagationTime);
    AssertAllHave("second");
  }

  void ChangeAfterStoreOutageReachesAllInstances()
  {
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      StoreOf(n).mIsRefusing = true;
    }
    mFleet->Run(5s);
    StoreOf(0).Set("main", "second");
    for (size_t n = 0; n < mFleet->Size(); ++n) {
      StoreOf(n).mIsRefusing = false;
    }
    mFleet->Run(kMaxPropagationTime);
    AssertAllHave("second");
  }

  void MirrorIgnoresOlderRevisions()
  {
    ObjectMirror mirror;
    const Instant now(1h);
    mirror.ApplyList({ { { "a", { 0, 5 }, "new", false } }, { 0, 9 } }, now);
    mirror.ApplyList({ { { "a", { 0, 3 }, "old", false } }, { 0, 4 } }, now);
    mirror.ApplyChanges({ { { "a", { 0, 3 }, "old", false } }, { 0, 4 } }, now);
    const auto changes = mirror.ChangesAfter({ 0, 8 });
    CPPUNIT_ASSERT(mirror.Revision() == (StoreRevision{ 0, 9 }));
    CPPUNIT_ASSERT(changes && changes->mObjects.empty());
    CPPUNIT_ASSERT(!mirror.ChangesAfter({ 0, 2 }));
  }

  /// Guards against a mirror that mixes the histories before and after a
  /// restore of the store.
  void MirrorMovesToALaterEraByAListOnly()
  {
    ObjectMirror mirror;
    const Instant now(1h);
    mirror.ApplyList({ { { "a", { 1, 5 }, "old", false } }, { 1, 9 } }, now);
    mirror.ApplyChanges({ { { "a", { 2, 10 }, "new", false } }, { 2, 10 } },
                        now);
    CPPUNIT_ASSERT(mirror.Revision() == (StoreRevision{ 1, 9 }));
    CPPUNIT_ASSERT(mirror.ChangesAfter({})->mObjects.front().mContent == "old");
    mirror.ApplyList({ { { "a", { 2, 3 }, "new", false } }, { 2, 4 } }, now);
    const auto restored = mirror.ChangesAfter({ 1, 9 });
    CPPUNIT_ASSERT(restored && restored->mObjects.empty());
    CPPUNIT_ASSERT(restored->mStoreRevision == (StoreRevision{ 2, 4 }));
    CPPUNIT_ASSERT(mirror.ChangesAfter({})->mObjects.front().mContent == "new");
    CPPUNIT_ASSERT(!mirror.ChangesAfter({ 3, 1 }));
  }

  void MirrorReportsDeletionsAndDropsOldTombstones()
  {
    ObjectMirror mirror;
    const Instant now(1h);
    mirror.ApplyList({ {}, { 0, 1 } }, now);
    StoreRevision revision{ 0, 1 };
    for (size_t n = 0; n < ObjectMirror::kMaxTombstones + 10; ++n) {
      const auto name = QString::number(n);
      ++revision.mNumber;
      mirror.ApplyChanges({ { { name, revision, {}, false } }, revision }, now);
      ++revision.mNumber;
      mirror.ApplyChanges({ { { name, revision, {}, true } }, revision }, now);
    }
    CPPUNIT_ASSERT_EQUAL(
      size_t(1),
      mirror.ChangesAfter({ 0, revision.mNumber - 1 })->mObjects.size());
    CPPUNIT_ASSERT(!mirror.ChangesAfter({ 0, 2 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSharedWatches);
