#pragma once

#include "LibDecision/GroupLoad.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace papayaline {

/// Which databases of a group may serve a statement; each kind has a queue of
/// its own.
enum class QueueKind
{
  /// Writes, and reads that must include all of them.
  AtPrimary,
  AtAnyDatabase,
};

/// What an instance last learned, from their answers, about the queues at the
/// homes of one group. Thread safety: one thread.
class LoadNews
{
public:
  /// Records the load that a home reported for statements of a kind.
  void Record(const std::string& aHome,
              QueueKind aKind,
              const GroupLoad& aLoad,
              Instant aNow);

  /// How long a statement is expected to wait at a home at least. A queue
  /// empties no faster than its expected wait, so the wait falls with the age
  /// of the news. Nothing when there are no recent news.
  std::optional<Duration> WaitAt(const std::string& aHome,
                                 QueueKind aKind,
                                 unsigned aRank,
                                 Instant aNow) const;

private:
  struct Entry
  {
    GroupLoad mLoad;
    Instant mAt;
  };

  std::map<std::pair<std::string, QueueKind>, Entry> mEntries;
};

/// What is known about a home that a statement may be sent to.
struct HomeWait
{
  /// Unset when it is not known.
  std::optional<Duration> mWait;

  bool operator==(const HomeWait&) const = default;
};

/// Chooses the home of a statement by the expected waits. The preferred home
/// keeps it if it may serve it within aTimeLeft. Otherwise the part of the
/// statements that it can't serve in time goes to the home with the shortest
/// wait, and the rest stays, so that instances with the same news neither leave
/// a home at once nor lose sight of it. Returns nothing when no home can serve
/// the statement; of those a small part stays too, to learn of the recovery.
/// aDraw is evenly distributed from 0 up to 1. Pure; any thread. Precondition:
/// aPreferred is an index of aHomes.
std::optional<size_t>
ChooseByWait(std::span<const HomeWait> aHomes,
             size_t aPreferred,
             Duration aTimeLeft,
             double aDraw);

}
