#pragma once

namespace papayaline {

/// Where a rank stands among those of a group's routes.
enum class RankPlace
{
  /// The first of several.
  First,
  Other,
};

/// What an instance knows of the slots of a database.
struct SlotUse
{
  unsigned mSlots = 1;
  /// The instances that run statements there, this one included; 0 when
  /// unknown.
  unsigned mSharers = 0;
  /// The concurrency limit that follows the answer time.
  unsigned mLimit = 1;

  bool operator==(const SlotUse&) const = default;
};

/// How many statements an instance may run at a database at the same time
/// before one more of a rank. Instances know only their own queue, and the
/// concurrency limit of each falls with the answer time, whoever caused it.
///
/// It does not fall below an even share of the slots, since slots are idle
/// while all instances run less than that. For the first rank it does not fall
/// below three such shares, as far as there are slots: at the database a
/// statement of that rank is behind whatever other instances sent, and must not
/// wait for statements of its own instance besides. Without mSharers it is
/// mLimit. Pure; any thread.
unsigned
ConcurrencyOf(const SlotUse& aUse, RankPlace aPlace);

}
