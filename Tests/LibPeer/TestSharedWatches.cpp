#include "PeerWorld.h"

#include "LibDecision/WatchPlan.h"
#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Instances that follow the store through a few of them.
class TestSharedWatches : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestSharedWatches);
  CPPUNIT_TEST(FleetInCalmFewInstancesCallTheStore);
  CPPUNIT_TEST(ChangeReachesAllInstances);
  CPPUNIT_TEST(ObjectRemovedReachesAllInstances);
  CPPUNIT_TEST(WatchersKilledOthersFollowOn);
  CPPUNIT_TEST(WatchersFrozenOthersFollowOn);
  CPPUNIT_TEST(WatchersRefusedByTheStoreOthersFollowOn);
  CPPUNIT_TEST(WatchersSilentlyCutFromTheStoreOthersFollowOn);
  CPPUNIT_TEST(StoreAwayAndBackChangeReachesAll);
  CPPUNIT_TEST(MirrorNeverGoesBack);
  CPPUNIT_TEST(MirrorTellsOfDeletionsAndForgetsOldOnes);
  CPPUNIT_TEST_SUITE_END();

  /// How soon a change must be in force, the least of all deployments with so
  /// many instances.
  static constexpr auto kInForce = 5000ms;
  inline static const QString kKind = "things";

  /// What one instance knows, by listing once and watching on.
  struct Follower
  {
    std::map<QString, QString> mContents;
    int64_t mRevision = 0;
    bool mWentBack = false;

    void Take(const ObjectBatch& aBatch)
    {
      mWentBack |= aBatch.mStoreRevision < mRevision;
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

  std::unique_ptr<PeerWorld> mWorld;
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
      aFollower->Take(aBatch.Value());
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
                     aFollower->Take(aBatch.Value());
                   }
                   Watch(aStore, aFollower);
                 });
  }

  FakeStore& StoreOf(size_t aIndex) { return *mWorld->At(aIndex).mOwnStore; }

  bool IsWatcher(size_t aIndex)
  {
    return PlanWatches(mWorld->At(aIndex).mInfo, mWorld->Fleet()).mIsWatcher;
  }

  template<typename Use>
  void ForEachWatcher(Use aUse)
  {
    for (size_t n = 0; n < mWorld->Size(); ++n) {
      if (IsWatcher(n)) {
        aUse(n);
      }
    }
  }

  size_t Calls()
  {
    size_t calls = 0;
    for (size_t n = 0; n < mWorld->Size(); ++n) {
      calls += StoreOf(n).mCalls;
    }
    return calls;
  }

  void AssertAllHave(const QString& aContent)
  {
    for (size_t n = 0; n < mWorld->Size(); ++n) {
      if (mWorld->At(n).mIsAlive &&
          mWorld->At(n).mFrozenUntil < mWorld->Databases().Now()) {
        CPPUNIT_ASSERT(mFollowers[n]->mContents["main"] == aContent);
      }
    }
    for (const auto& it : mFollowers) {
      CPPUNIT_ASSERT(!it->mWentBack);
    }
  }

public:
  void setUp() override
  {
    mWorld = std::make_unique<PeerWorld>(
      60, std::vector<std::string>{ "d1", "d2", "d3" });
    StoreOf(0).Set("main", "first");
    for (size_t n = 0; n < mWorld->Size(); ++n) {
      mFollowers.push_back(std::make_shared<Follower>());
      List(*mWorld->At(n).mStore, mFollowers.back());
    }
    mWorld->Run(2500ms);
  }

  void tearDown() override
  {
    mWorld.reset();
    mFollowers.clear();
  }

  /// 60 instances, two watchers in each of three domains.
  void FleetInCalmFewInstancesCallTheStore()
  {
    const auto before = Calls();
    mWorld->Run(20s);
    CPPUNIT_ASSERT(Calls() - before <= 6 * 10 + 6);
  }

  void ChangeReachesAllInstances()
  {
    StoreOf(0).Set("main", "second");
    mWorld->Run(100ms);
    AssertAllHave("second");
  }

  void ObjectRemovedReachesAllInstances()
  {
    StoreOf(0).Remove("main");
    mWorld->Run(100ms);
    for (const auto& it : mFollowers) {
      CPPUNIT_ASSERT(!it->mContents.contains("main"));
    }
  }

  void WatchersKilledOthersFollowOn()
  {
    ForEachWatcher([&](size_t n) { mWorld->Kill(mWorld->At(n).mInfo.mName); });
    StoreOf(0).Set("main", "second");
    mWorld->Run(kInForce);
    AssertAllHave("second");
  }

  void WatchersFrozenOthersFollowOn()
  {
    ForEachWatcher(
      [&](size_t n) { mWorld->Freeze(mWorld->At(n).mInfo.mName, 20s); });
    StoreOf(0).Set("main", "second");
    mWorld->Run(kInForce);
    AssertAllHave("second");
    mWorld->Run(20s);
    AssertAllHave("second");
  }

  void WatchersRefusedByTheStoreOthersFollowOn()
  {
    ForEachWatcher([&](size_t n) { StoreOf(n).mIsRefusing = true; });
    StoreOf(0).Set("main", "second");
    mWorld->Run(kInForce);
    AssertAllHave("second");
  }

  /// Their waiting calls are never answered.
  void WatchersSilentlyCutFromTheStoreOthersFollowOn()
  {
    ForEachWatcher([&](size_t n) { StoreOf(n).mIsSilent = true; });
    StoreOf(0).Set("main", "second");
    mWorld->Run(kInForce);
    AssertAllHave("second");
  }

  void StoreAwayAndBackChangeReachesAll()
  {
    for (size_t n = 0; n < mWorld->Size(); ++n) {
      StoreOf(n).mIsRefusing = true;
    }
    mWorld->Run(5s);
    StoreOf(0).Set("main", "second");
    for (size_t n = 0; n < mWorld->Size(); ++n) {
      StoreOf(n).mIsRefusing = false;
    }
    mWorld->Run(kInForce);
    AssertAllHave("second");
  }

  void MirrorNeverGoesBack()
  {
    ObjectMirror mirror;
    const Instant now(1h);
    mirror.ApplyList({ { { "a", 5, "new", false } }, 9 }, now);
    mirror.ApplyList({ { { "a", 3, "old", false } }, 4 }, now);
    mirror.ApplyChanges({ { { "a", 3, "old", false } }, 4 }, now);
    const auto changes = mirror.ChangesAfter(8);
    CPPUNIT_ASSERT_EQUAL(int64_t(9), mirror.Revision());
    CPPUNIT_ASSERT(changes && changes->mObjects.empty());
    CPPUNIT_ASSERT(!mirror.ChangesAfter(2));
  }

  void MirrorTellsOfDeletionsAndForgetsOldOnes()
  {
    ObjectMirror mirror;
    const Instant now(1h);
    mirror.ApplyList({ {}, 1 }, now);
    int64_t revision = 1;
    for (size_t n = 0; n < ObjectMirror::kMaxTombstones + 10; ++n) {
      const auto name = QString::number(n);
      ++revision;
      mirror.ApplyChanges({ { { name, revision, {}, false } }, revision }, now);
      ++revision;
      mirror.ApplyChanges({ { { name, revision, {}, true } }, revision }, now);
    }
    CPPUNIT_ASSERT_EQUAL(size_t(1),
                         mirror.ChangesAfter(revision - 1)->mObjects.size());
    CPPUNIT_ASSERT(!mirror.ChangesAfter(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSharedWatches);
