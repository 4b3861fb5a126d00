#pragma once

#include "LibPeer/QuotaExchange.h"

#include <queue>
#include <random>
#include <set>

namespace papayaline {

/// A fleet of instances in memory that enforce quotas, with faults of the
/// network. Messages are encoded as on the wire. Time is simulated.
class QuotaWorld
{
public:
  struct Instance
  {
    InstanceInfo mInfo;
    std::unique_ptr<PeerPool> mPeers;
    std::unique_ptr<QuotaExchange> mQuota;
    StartListing mListing = StartListing::Listed;
    bool mIsAlive = false;
    /// Messages to and from other instances are lost.
    bool mIsCut = false;
    /// The instance does not run until then; its messages wait.
    Instant mFrozenUntil;
    /// Events of an earlier incarnation are dropped.
    unsigned mIncarnation = 0;
  };
  struct Load
  {
    std::string mAccount;
    double mPerSecond = 0;
    /// The instances at which operations arrive, at random.
    std::vector<size_t> mHomes;
  };

  /// Creates instances that are not started.
  QuotaWorld(size_t aInstances, unsigned aSeed);
  ~QuotaWorld();

  /// Starts instances that the store listed or not; mList is what it lists.
  void Start(size_t aIndex, StartListing aListing = StartListing::Listed);
  void StartAll();
  enum class Death
  {
    ConnectionsClosed,
    Silent,
  };
  void Kill(size_t aIndex, Death aDeath = Death::ConnectionsClosed);
  void SetList(size_t aIndex, const std::vector<InstanceInfo>& aList);
  std::vector<InstanceInfo> ListOf(size_t aCount) const;
  void SetAccounts(std::vector<ClientAccount> aAccounts);
  void ConfigureInstance(size_t aIndex);
  void Freeze(size_t aIndex, Duration aTime)
  {
    mInstances[aIndex].mFrozenUntil = mNow + aTime;
  }
  void Run(Duration aTime);
  Instance& At(size_t aIndex) { return mInstances[aIndex]; }
  /// The instance that all choose as bank while all are usable.
  size_t FirstBank() const;
  std::vector<size_t> Homes(size_t aCount, std::optional<size_t> aWithout = {});

  size_t Refused(const std::string& aAccount) { return mRefused[aAccount]; }
  size_t Admitted(const std::string& aAccount)
  {
    return mSentAt[aAccount].size();
  }
  size_t Messages() const { return mMessages; }
  /// The largest number of operations of an account in any window.
  size_t LargestWindow(const std::string& aAccount, Duration aWindow) const;
  /// Fails unless all windows are within the bound of kTolerance.
  void CheckBounds() const;

  static constexpr QuotaTolerance kTolerance{ std::chrono::seconds(5),
                                              0.1,
                                              20 };
  std::vector<Load> mLoads;
  /// Probabilities that a message is lost, arrives twice, or up to mMaxDelay
  /// late.
  double mLossRate = 0;
  double mRepeatRate = 0;
  double mDelayRate = 0;
  Duration mMaxDelay = std::chrono::seconds(3);
  /// What instances send with their hello.
  int mFeatureLevel = PeerHello::kFeatureLevel;

private:
  class Channel;
  struct Link;
  struct Event
  {
    Instant mAt;
    uint64_t mNumber = 0;
    size_t mTo = 0;
    unsigned mIncarnation = 0;
    std::function<void()> mRun;

    bool operator>(const Event& aOther) const
    {
      return std::pair(mAt, mNumber) > std::pair(aOther.mAt, aOther.mNumber);
    }
  };

  void Schedule(size_t aTo, Duration aDelay, std::function<void()> aRun);
  void Transmit(size_t aFrom,
                size_t aTo,
                const PeerMessage& aMessage,
                std::function<void(const PeerMessage&)> aDeliver);
  std::unique_ptr<PeerChannel> Open(size_t aFrom,
                                    const std::string& aAddress,
                                    PeerChannelEvents aEvents);
  void TickLater(size_t aIndex);
  void Submit(const Load& aLoad);
  double Random() { return std::uniform_real_distribution<>()(mRandom); }

  Instant mNow = Instant(std::chrono::hours(1));
  std::mt19937 mRandom;
  std::vector<Instance> mInstances;
  std::vector<std::weak_ptr<Link>> mLinks;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  uint64_t mLastEvent = 0;
  std::shared_ptr<const ClientAccounts> mAccounts;
  std::map<std::string, std::vector<Instant>> mSentAt;
  std::map<std::string, size_t> mRefused;
  size_t mMessages = 0;
};

}
