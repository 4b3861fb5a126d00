#pragma once

#include "LibDecision/Instant.h"
#include "LibDecision/StoreRevision.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace papayaline {

/// The promotion lease as stored in the platform's store. Its holder may order
/// promotions.
struct LeaseRecord
{
  std::string mHolder;
  /// Distinguishes successive processes of an instance with the same name.
  std::string mIncarnation;
  /// Increases with every write. A write that changes nothing would not get a
  /// new revision.
  uint64_t mSequence = 0;
  /// Set when the holder released the lease, so that another instance may
  /// acquire it without waiting for the timeout.
  bool mIsReleased = false;
  /// The era of the store in which the holder decided to write the record.
  uint64_t mEra = 0;

  bool operator==(const LeaseRecord&) const = default;
};

/// The record with the revision that the store assigned to its last change.
struct StoredLease
{
  LeaseRecord mRecord;
  StoreRevision mRevision;

  bool operator==(const StoredLease&) const = default;
};

struct LeaseSettings
{
  /// How long a holder may order promotions, counted from when it sent the
  /// write that acquired the lease. Shorter than the timeout by more than the
  /// longest call to the platform takes.
  Duration mValidity = std::chrono::milliseconds(2500);
  /// How long the record of another holder must be unchanged before the lease
  /// may be acquired. Longer than the time that the platform requires between
  /// the leases of two holders.
  Duration mTimeout = std::chrono::milliseconds(5500);
};

/// Write this record on condition that the stored object is unchanged.
struct WriteLease
{
  LeaseRecord mRecord;
  /// The revision to replace; 0 to create the object.
  StoreRevision mExpectedRevision;

  bool operator==(const WriteLease&) const = default;
};
/// Another instance holds the lease; read the record again at mUntil.
struct WaitForLeaseHolder
{
  Instant mUntil;

  bool operator==(const WaitForLeaseHolder&) const = default;
};
using LeaseDecision = std::variant<WriteLease, WaitForLeaseHolder>;

/// Permission to order promotions, with the fencing token for the orders.
struct LeaseGrant
{
  /// Increases with each change of the holder, also after the store was
  /// restored.
  uint64_t mToken = 0;
  Instant mValidUntil;

  bool operator==(const LeaseGrant&) const = default;
};

/// Decides when an instance may acquire the promotion lease. Clocks of
/// different machines are not compared: a lease expires once its record is
/// unchanged for the lease timeout on the observer's clock, and its holder
/// stops ordering promotions well before. The clock must include time in which
/// the machine is suspended.
///
/// A store that was restored from a copy may have lost the record of a holder,
/// who may not know of it. Its era tells: a record, or the lack of one, proves
/// nothing about grants of earlier eras, so the lease timeout has to pass after
/// this instance learned of the era. A record that names another era than the
/// store's was written by an instance that did not know of the restore, and is
/// not trusted either.
///
/// Thread safety: one thread.
class PromotionLease
{
public:
  PromotionLease(std::string aInstance,
                 std::string aIncarnation,
                 LeaseSettings aSettings = {});

  /// Records the era of the store that this instance knows of at aNow, and
  /// returns whether the store was restored since the last call. Eras before
  /// the known one are ignored.
  bool ObserveEra(uint64_t aEra, Instant aNow);
  /// Records a record that was read at aNow without an intention to write.
  void ObserveRecord(const StoredLease& aStored, Instant aNow);

  /// Decides what to do with the record that was read at aNow.
  LeaseDecision Decide(const std::optional<StoredLease>& aStored, Instant aNow);

  /// Handles the success of the write of the last WriteLease, which was sent at
  /// aSentAt and got aRevision. Returns the grant, or nothing when the write
  /// took effect in another era than the record it was decided from.
  std::optional<LeaseGrant> OnAcquired(const StoreRevision& aRevision,
                                       Instant aSentAt);

  /// Returns the grant while it is valid.
  std::optional<LeaseGrant> Grant(Instant aNow) const;

  /// Records that a promotion was ordered under the grant.
  void OnPromotionOrdered(Instant aNow);

  /// Returns the write that releases the lease if this instance ordered nothing
  /// for the lease timeout. The grant ends then. A grant of an earlier era ends
  /// without a write, since its revision may be that of another holder now.
  std::optional<WriteLease> ReleaseIfDue(Instant aNow);

private:
  LeaseRecord OwnRecord() const;
  bool MayWrite(const std::optional<StoredLease>& aStored, Instant aNow) const;

  std::string mInstance;
  std::string mIncarnation;
  LeaseSettings mSettings;
  uint64_t mSequence = 0;
  /// The era of the store, and when this instance learned of it.
  uint64_t mEra = 0;
  Instant mEraSince;
  /// The era in which the last WriteLease was decided.
  uint64_t mDecidedEra = 0;
  StoreRevision mSeenRevision;
  Instant mFirstSeenAt;
  std::optional<LeaseGrant> mGrant;
  StoreRevision mOwnRevision;
  Instant mLastOrderAt;
};

}
