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
  /// The revision of the record; it increases with each change of the holder.
  uint64_t mToken = 0;
  Instant mValidUntil;

  bool operator==(const LeaseGrant&) const = default;
};

/// Decides when an instance may acquire the promotion lease. Clocks of
/// different machines are not compared: a lease expires once its record is
/// unchanged for the lease timeout on the observer's clock, and its holder
/// stops ordering promotions well before. The clock must include time in which
/// the machine is suspended. Thread safety: one thread.
class PromotionLease
{
public:
  PromotionLease(std::string aInstance,
                 std::string aIncarnation,
                 LeaseSettings aSettings = {});

  /// Decides what to do with the record that was read at aNow.
  LeaseDecision Decide(const std::optional<StoredLease>& aStored, Instant aNow);

  /// Handles the success of the write of WriteLease that was sent at aSentAt
  /// and got aRevision.
  void OnAcquired(const StoreRevision& aRevision, Instant aSentAt);

  /// Returns the grant while it is valid.
  std::optional<LeaseGrant> Grant(Instant aNow) const;

  /// Records that a promotion was ordered under the grant.
  void OnPromotionOrdered(Instant aNow);

  /// Returns the write that releases the lease if this instance ordered nothing
  /// for the lease timeout. The grant ends then.
  std::optional<WriteLease> ReleaseIfDue(Instant aNow);

private:
  LeaseRecord OwnRecord() const;

  std::string mInstance;
  std::string mIncarnation;
  LeaseSettings mSettings;
  uint64_t mSequence = 0;
  StoreRevision mSeenRevision;
  Instant mFirstSeenAt;
  std::optional<LeaseGrant> mGrant;
  StoreRevision mOwnRevision;
  Instant mLastOrderAt;
};

}
