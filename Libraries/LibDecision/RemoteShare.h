#pragma once

#include "LibDecision/Instant.h"
#include "LibDecision/Topology.h"

#include <optional>

namespace papayaline {

struct RemoteShareSettings
{
  /// Time between two changes of the share: a few times the answer time of a
  /// statement, so that a change shows in the answers before the next one.
  Duration mRound = std::chrono::milliseconds(250);
  /// The most that the share changes in one round.
  double mMaxStep = 0.08;
  /// The change of the share for a change of the error by one, and per round
  /// for an error that stays.
  double mProportional = 0.4;
  double mIntegral = 0.03;
  /// What leaves at most for a home that has not answered yet.
  double mMaxTrial = 0.1;
  /// What remains with the near home, so that its answer time stays known.
  double mMaxShare = 0.9;
  /// A statement stays while the expected time is below this part of its target
  /// latency: answer times of twice their mean are then still in time.
  double mTargetPart = 0.5;
  /// What a statement must save beside the way to leave its failure domain or
  /// its region; the penalties of RelayRoutingSettings.
  Duration mDomainPrice = std::chrono::milliseconds(20);
  Duration mRegionPrice = std::chrono::milliseconds(80);
};

/// What an instance knows of a group's two nearest homes at the end of a round.
struct RemoteShareInput
{
  /// The answer time of the nearest home.
  Duration mNear{};
  /// The answer time of the other home, with the way there and back; unset
  /// when none is recent.
  std::optional<Duration> mFar;
  /// The price of the distance to the other home, less that to the nearest.
  Duration mPrice{};
  /// The shortest target latency of the statements of the round.
  Duration mTarget{};

  bool operator==(const RemoteShareInput&) const = default;
};

/// The price of the way to aFar beyond that to aNear; at least 0. Pure; any
/// thread.
Duration
PriceBeyond(Distance aNear,
            Distance aFar,
            const RemoteShareSettings& aSettings = {});

/// Decides which share of an instance's statements for a group leaves the
/// nearest home for one in another failure domain.
///
/// Leaving pays while the near home is slower than a part of the target and
/// than the other home by more than the price. The share follows this error in
/// bounded steps, in proportion to it and to its sum: instances that all learn
/// the same move a little, see the effect in their answer times, and settle
/// where leaving just stops paying. Thread safety: one thread.
class RemoteShare
{
public:
  /// aPhase, in [0, 1), shifts the sequence of TakeNext, so that instances with
  /// the same share don't all send the same one of their statements away.
  explicit RemoteShare(RemoteShareSettings aSettings = {}, double aPhase = 0)
    : mSettings(aSettings)
    , mCarried(aPhase)
  {
  }

  /// Ends a round.
  void Update(const RemoteShareInput& aInput);
  /// Reduces the share by a step at the end of a round without an alternative.
  void Retreat();

  /// Between 0 and mMaxShare.
  double Share() const { return mShare; }
  /// Whether the next statement leaves. Of many calls a part of Share returns
  /// true, evenly distributed.
  bool TakeNext();

private:
  void MoveTo(double aShare);

  RemoteShareSettings mSettings;
  double mShare = 0;
  /// The sum of the errors, as a share.
  double mIntegral = 0;
  double mCarried = 0;
};

}
