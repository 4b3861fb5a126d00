#include "SimulatedFleet.h"

#include "LibDecision/WatchPlan.h"
#include "LibPeer/ObjectWatcher.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Instances that follow a store which is restored from a copy: it loses its
/// last changes and assigns their revision numbers again. Large fleets follow
/// it through watchers, small ones directly.
class TestRestoredStore : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestRestoredStore);
  CPPUNIT_TEST(ChangeAfterTheRestoreReachesLargeFleets);
  CPPUNIT_TEST(ChangeAfterTheRestoreReachesSmallFleets);
  CPPUNIT_TEST(InstanceCutOffDuringTheRestoreOfALargeFleetCatchesUp);
  CPPUNIT_TEST(InstanceCutOffDuringTheRestoreOfASmallFleetCatchesUp);
  CPPUNIT_TEST(ObjectLostByTheRestoreIsGone);
  CPPUNIT_TEST(InstancesRefusedAfterTheRestoreFollowThroughOthers);
  CPPUNIT_TEST_SUITE_END();

  /// As in TestSharedWatches.
  static constexpr auto kMaxPropagationTime = 5000ms;
  static constexpr size_t kLargeFleet = 60;
  static constexpr size_t kSmallFleet = 9;
  inline static const QString kKind = "things";

  struct Follower
  {
    std::unique_ptr<ObjectWatcher> mWatcher;
    std::map<QString, QString> mContents;
  };

  std::unique_ptr<SimulatedFleet> mFleet;
  std::vector<std::unique_ptr<Follower>> mFollowers;

  FakeStore& StoreOf(size_t aIndex) { return *mFleet->At(aIndex).mDirectStore; }

  void StartFollower(size_t aIndex)
  {
    mFollowers.push_back(std::make_unique<Follower>());
    auto& follower = *mFollowers.back();
    const auto set = [&follower](const StoredObject& aObject) {
      if (aObject.mIsDeleted) {
        follower.mContents.erase(aObject.mName);
      } else {
        follower.mContents[aObject.mName] = aObject.mContent.toString();
      }
    };
    ObjectWatcher::Events events;
    events.mOnListed = [=, &follower](const auto& aObjects) {
      follower.mContents.clear();
      std::ranges::for_each(aObjects, set);
    };
    events.mOnChanged = set;
    const auto name = mFleet->At(aIndex).mInfo.mName;
    follower.mWatcher = std::make_unique<ObjectWatcher>(
      *mFleet->At(aIndex).mStore,
      kKind,
      std::move(events),
      ObjectWatcher::Environment{
        [this] { return mFleet->Databases().Now(); },
        [=, this](Duration aDelay, std::function<void()> aRun) {
          mFleet->RunAfter(name, aDelay, std::move(aRun));
        },
        [](const auto&, const auto&) {} });
    follower.mWatcher->Start();
  }

  void StartFleet(size_t aInstances)
  {
    mFollowers.clear();
    mFleet = std::make_unique<SimulatedFleet>(
      aInstances, std::vector<std::string>{ "d1", "d2", "d3" });
    StoreOf(0).Set("main", "first");
    for (size_t n = 0; n < aInstances; ++n) {
      StartFollower(n);
    }
    mFleet->Run(6s);
  }

  void ChangeObject()
  {
    for (const auto* it : { "second", "third", "fourth" }) {
      StoreOf(0).Set("main", it);
      mFleet->Run(200ms);
    }
    AssertAllHave("fourth");
  }

  /// The operator writes the last change again.
  void Restore(const FakeStore::Copy& aCopy)
  {
    FakeStore::Restore(aCopy);
    StoreOf(0).Set("main", "fourth");
  }

  void AssertAllHave(const QString& aContent)
  {
    for (const auto& it : mFollowers) {
      CPPUNIT_ASSERT_EQUAL(aContent.toStdString(),
                           it->mContents["main"].toStdString());
    }
  }

  void CheckChangeAfterTheRestore(size_t aInstances)
  {
    StartFleet(aInstances);
    const auto copy = FakeStore::MakeCopy();
    ChangeObject();
    Restore(copy);
    mFleet->Run(1s);
    StoreOf(0).Set("main", "fifth");
    mFleet->Run(kMaxPropagationTime);
    AssertAllHave("fifth");
  }

  /// The revision numbers of the new era exceed that of the instance before it
  /// reaches the store again, while the object's last change is below it.
  void CheckInstanceCutOff(size_t aInstances)
  {
    StartFleet(aInstances);
    const auto copy = FakeStore::MakeCopy();
    ChangeObject();
    auto& instance = mFleet->At(aInstances - 1);
    instance.mIsPartitioned = true;
    instance.mDirectStore->mIsSilent = true;
    Restore(copy);
    StoreOf(0).Set("main", "fifth");
    for (int n = 0; n < 5; ++n) {
      StoreOf(0).Set("other", QString::number(n));
    }
    mFleet->Run(10s);
    instance.mIsPartitioned = false;
    instance.mDirectStore->mIsSilent = false;
    mFleet->Run(kMaxPropagationTime);
    AssertAllHave("fifth");
  }

public:
  void tearDown() override
  {
    mFollowers.clear();
    mFleet.reset();
  }

  /// Guards against the change of a restored store that no instance applied
  /// because its revision number was below that of a mirror.
  void ChangeAfterTheRestoreReachesLargeFleets()
  {
    CheckChangeAfterTheRestore(kLargeFleet);
  }
  void ChangeAfterTheRestoreReachesSmallFleets()
  {
    CheckChangeAfterTheRestore(kSmallFleet);
  }

  /// Guards against a watch that continues from a revision number of the lost
  /// history and misses the changes below it.
  void InstanceCutOffDuringTheRestoreOfALargeFleetCatchesUp()
  {
    CheckInstanceCutOff(kLargeFleet);
  }
  void InstanceCutOffDuringTheRestoreOfASmallFleetCatchesUp()
  {
    CheckInstanceCutOff(kSmallFleet);
  }

  /// Guards against objects that the store lost and mirrors still report.
  void ObjectLostByTheRestoreIsGone()
  {
    for (const auto instances : { kLargeFleet, kSmallFleet }) {
      StartFleet(instances);
      const auto copy = FakeStore::MakeCopy();
      StoreOf(0).Set("added", "x");
      mFleet->Run(200ms);
      FakeStore::Restore(copy);
      mFleet->Run(kMaxPropagationTime);
      for (const auto& it : mFollowers) {
        CPPUNIT_ASSERT(!it->mContents.contains("added"));
      }
    }
  }

  /// Guards against an instance that the restored store refuses and that waits
  /// for its list instead of following through a watcher.
  void InstancesRefusedAfterTheRestoreFollowThroughOthers()
  {
    StartFleet(kLargeFleet);
    for (size_t n = 0; n < kLargeFleet; ++n) {
      StoreOf(n).mIsRefusing =
        !PlanWatches(mFleet->At(n).mInfo, mFleet->ListInstances()).mIsWatcher;
    }
    const auto copy = FakeStore::MakeCopy();
    ChangeObject();
    Restore(copy);
    StoreOf(0).Set("main", "fifth");
    mFleet->Run(kMaxPropagationTime);
    AssertAllHave("fifth");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRestoredStore);
