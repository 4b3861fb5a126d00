#pragma once

#include "LibDecision/Instant.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace papayaline {

/// A waiting statement, as far as its place in the queue depends on it.
struct FairStatement
{
  /// The rank of its route; lower ranks are served first.
  unsigned mRank = 0;
  /// Whether it can no longer be answered within its target latency.
  bool mIsLate = false;
  /// The rank of its client account; lower ranks are served first.
  unsigned mAccountRank = 0;
  /// Empty for statements without an account, which share as one.
  std::string mAccount;
  /// The part of the slots that its account is due, relative to the others.
  /// Greater than 0.
  double mWeight = 1;
  /// The time for which it is expected to occupy a slot.
  Duration mWork{};

  bool operator==(const FairStatement&) const = default;
};

/// The order in which waiting statements are started: by rank of the route,
/// then what can still be in time, then by rank of the account. Among those
/// that are alike in this, start-time fair queueing divides the slots between
/// accounts by weight, so that an account that sends far more than its usual
/// waits behind its own statements only. Statements of one account keep their
/// order. An account saves up no share while it has nothing waiting.
/// Thread safety: one thread.
class FairOrder
{
public:
  /// The indices of aWaiting, which is in order of arrival, in the order in
  /// which to start them.
  std::vector<size_t> Order(std::span<const FairStatement> aWaiting);

  /// Records that a statement was started.
  void OnStarted(const FairStatement& aStatement);

  /// The index of the statement to refuse when too many wait: the newest of the
  /// account with the most waiting among those of the lowest priority. Pure.
  /// Precondition: aWaiting is not empty.
  static size_t ChooseRefusal(std::span<const FairStatement> aWaiting);

private:
  /// The statements that are alike in all but their account. Times are virtual:
  /// seconds of work, divided by weight.
  struct Class
  {
    double mNow = 0;
    size_t mWaiting = 0;
    /// When the work that was started for an account ends, by account.
    std::map<std::string, double> mEnds;

    double StartOf(const std::string& aAccount) const;
  };
  using Key = std::tuple<unsigned, bool, unsigned>;

  static Key KeyOf(const FairStatement& aStatement)
  {
    return { aStatement.mRank, aStatement.mIsLate, aStatement.mAccountRank };
  }
  static double CostOf(const FairStatement& aStatement);

  std::map<Key, Class> mClasses;
};

}
