#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QString>
#include <cstdint>
#include <deque>
#include <mutex>

namespace papayaline {

/// A hybrid logical clock: wall time in microseconds that never goes back and
/// always exceeds every stamp that was observed.
struct HybridTime
{
  int64_t mWallUs = 0;
  uint32_t mLogical = 0;

  auto operator<=>(const HybridTime&) const = default;
};

/// One entry of the time line.
struct TimelineEvent
{
  HybridTime mTime;
  QString mInstance;
  QString mPart;
  QString mKind;
  QString mGroup;
  uint64_t mTerm = 0;
  QString mDetail;

  QJsonObject ToJson() const;
};

/// A bounded ring of recent events of one process.
/// Thread safety: all methods may be called from any thread.
class EventRing
{
public:
  static constexpr size_t kCapacity = 20000;

  /// The ring of this process.
  static EventRing& Instance();

  void SetInstanceName(const QString& aName);

  /// Appends an event stamped with the present hybrid time.
  void Record(const QString& aPart,
              const QString& aKind,
              const QString& aGroup = {},
              uint64_t aTerm = 0,
              const QString& aDetail = {});

  /// Advances the clock past a stamp that came from another process.
  void Observe(HybridTime aRemote);

  /// A fresh stamp to send to another process.
  HybridTime Stamp();

  /// Events stamped at or after aSinceUs (wall microseconds), oldest first.
  QJsonArray Since(int64_t aSinceUs) const;

private:
  HybridTime Advance();

  mutable std::mutex mMutex;
  QString mInstance;
  HybridTime mLast;
  std::deque<TimelineEvent> mEvents;
};

}
