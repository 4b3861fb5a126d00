#pragma once

#include "LibDecision/Instant.h"

#include <cstddef>
#include <map>
#include <optional>

namespace papayaline {

/// Whether the store listed this instance when it started, by an entry of an
/// earlier incarnation.
enum class StartListing
{
  NotListed,
  Listed,
};

/// Tracks by how many instances the quotas are divided, and from when this one
/// mints tokens. An undercount would mint too many, so the count rises at once
/// and falls late. Thread safety: one thread.
class QuotaMembership
{
public:
  /// How long a higher count is kept: three intervals between two lists, so
  /// that every instance has had a list since.
  static constexpr Duration kForgetTime = std::chrono::seconds(60);
  /// The time in which a bank tells all instances of a new one: two rounds of
  /// collections, a second each, and the second list of an instance that starts
  /// at the same time.
  static constexpr Duration kSpreadTime = std::chrono::seconds(5);

  /// Handles a list that includes this instance or not. aInstances is the
  /// number of listed instances.
  void ObserveList(size_t aInstances,
                   bool aIncludesSelf,
                   StartListing aStart,
                   Instant aNow);
  /// Handles the number of instances that another one has listed.
  void ObserveCount(size_t aInstances, Instant aNow);

  /// The same for a number that its sender listed itself, which is told on.
  void ObserveListedByPeer(size_t aInstances, Instant aNow);

  /// The number to divide by; 0 before the first list.
  size_t Count(Instant aNow) const;
  /// What this instance has listed, to tell others; 0 before the first list.
  size_t Listed() const { return mListed; }
  /// What this instance as a bank tells all others: the largest number that it
  /// or a peer has listed. What it was told is left out, so that an old count
  /// does not circulate.
  size_t Told(Instant aNow) const;
  /// Whether all others count this instance, so that it may mint.
  bool MayMint(Instant aNow) const;

private:
  size_t mListed = 0;
  /// When a list or another instance last had each count.
  std::map<size_t, Instant> mSeen;
  /// When a peer last told that it listed each count.
  std::map<size_t, Instant> mListedByPeers;
  /// When a list first included this instance.
  std::optional<Instant> mListedSince;
  /// When another instance was first heard of after that.
  std::optional<Instant> mHeardSince;
  bool mWasListedAtStart = false;
};

}
