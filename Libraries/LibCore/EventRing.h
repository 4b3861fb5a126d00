#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QString>
#include <cstdint>
#include <deque>
#include <mutex>

namespace papayaline {

/// A timestamp of a hybrid logical clock: wall time in microseconds and a
/// counter that orders timestamps of the same microsecond.
struct HybridTime
{
  int64_t mWallUs = 0;
  uint32_t mLogical = 0;

  auto operator<=>(const HybridTime&) const = default;
};

/// One event of the timeline that is merged from all instances.
struct TimelineEvent
{
  HybridTime mTime;
  QString mInstance;
  QString mComponent;
  QString mKind;
  QString mGroup;
  uint64_t mTerm = 0;
  QString mDetail;

  QJsonObject ToJson() const;
};

/// A bounded ring buffer of the recent events of one process, with the hybrid
/// logical clock that stamps them. Each timestamp exceeds all earlier and all
/// observed ones. When the buffer is full, the oldest event is dropped.
/// Thread safety: all methods may be called from any thread.
class EventRing
{
public:
  static constexpr size_t kCapacity = 20000;

  /// The instance that the whole process shares.
  static EventRing& Instance();

  void SetInstanceName(const QString& aName);

  /// Appends an event with a new timestamp.
  void Record(const QString& aComponent,
              const QString& aKind,
              const QString& aGroup = {},
              uint64_t aTerm = 0,
              const QString& aDetail = {});

  /// Advances the clock to at least a timestamp received from another process,
  /// so that later events of this process are ordered after it.
  void ObserveHybridTime(HybridTime aRemote);

  /// Advances the clock and returns the new timestamp, to be sent to another
  /// process.
  HybridTime NextHybridTime();

  /// Events with a wall time of at least aSinceUs (in microseconds), oldest
  /// first.
  QJsonArray EventsSince(int64_t aSinceUs) const;

private:
  HybridTime Advance();

  mutable std::mutex mMutex;
  QString mInstance;
  HybridTime mLast;
  std::deque<TimelineEvent> mEvents;
};

}
