#pragma once

#include "LibDecision/Instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace papayaline {

/// Who may order promotions, as kept in the platform's store.
struct DutyRecord
{
  std::string mHolder;
  /// Distinguishes two lives of an instance of the same name.
  std::string mIncarnation;
  /// Grows with every write, so that each write has a revision of its own.
  uint64_t mSequence = 0;
  /// The holder has ordered nothing for a whole turn and others may go on at
  /// once.
  bool mIsReleased = false;

  bool operator==(const DutyRecord&) const = default;
};

/// The record with the revision that the store gave to its last change.
struct StoredDuty
{
  DutyRecord mRecord;
  int64_t mRevision = 0;

  bool operator==(const StoredDuty&) const = default;
};

struct DutySettings
{
  /// How long a holder may order promotions after the write that made it the
  /// holder was sent. Shorter than the turn by more than a call may take.
  Duration mValidity = std::chrono::milliseconds(2500);
  /// How long a record of another holder must stand unchanged before it may be
  /// taken; above the platform's span between turns of two holders.
  Duration mTurn = std::chrono::milliseconds(5500);
};

/// Write this record under the condition that the object is unchanged.
struct TakeDuty
{
  DutyRecord mRecord;
  /// The revision to replace; 0 creates the object.
  int64_t mExpectedRevision = 0;

  bool operator==(const TakeDuty&) const = default;
};
/// Another instance holds the duty; ask again at mUntil.
struct WaitForHolder
{
  Instant mUntil;

  bool operator==(const WaitForHolder&) const = default;
};
using DutyDecision = std::variant<TakeDuty, WaitForHolder>;

/// The right to order something, with the fencing token that goes with it.
struct DutyGrant
{
  /// The revision of the record: it grows with each change of the holder.
  uint64_t mToken = 0;
  Instant mValidUntil;

  bool operator==(const DutyGrant&) const = default;
};

/// Decides when an instance may take the promotion duty. No clocks of different
/// machines are compared: a holder counts as gone once its record has stood
/// unchanged for a whole turn on the observer's clock, and a holder stops by
/// itself well before. The clock must include the time of suspensions.
/// Thread safety: one thread.
class PromotionDuty
{
public:
  PromotionDuty(std::string aInstance,
                std::string aIncarnation,
                DutySettings aSettings = {});

  /// What to do with the record as it was read at aNow.
  DutyDecision Decide(const std::optional<StoredDuty>& aStored, Instant aNow);

  /// The write of TakeDuty, sent at aSentAt, succeeded with aRevision.
  void OnTaken(int64_t aRevision, Instant aSentAt);

  /// The grant while it is valid.
  std::optional<DutyGrant> Grant(Instant aNow) const;

  /// A promotion was ordered under the grant.
  void OnOrdered(Instant aNow);

  /// The record to write when this instance has ordered nothing for a turn; the
  /// grant ends with it.
  std::optional<TakeDuty> ReleaseIfDue(Instant aNow);

private:
  DutyRecord OwnRecord() const;

  std::string mInstance;
  std::string mIncarnation;
  DutySettings mSettings;
  uint64_t mSequence = 0;
  int64_t mSeenRevision = 0;
  Instant mSeenAt;
  std::optional<DutyGrant> mGrant;
  int64_t mOwnRevision = 0;
  Instant mLastOrder;
};

}
