#include "LibCore/EventRing.h"

#include <QDateTime>
#include <chrono>

namespace papayaline {

namespace {

int64_t
WallTimeMicroseconds()
{
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch())
    .count();
}

}

QJsonObject
TimelineEvent::ToJson() const
{
  return { { "wallUs", static_cast<qint64>(mTime.mWallUs) },
           { "logical", static_cast<qint64>(mTime.mLogical) },
           { "instance", mInstance },
           { "part", mComponent },
           { "kind", mKind },
           { "group", mGroup },
           { "term", static_cast<qint64>(mTerm) },
           { "detail", mDetail } };
}

EventRing&
EventRing::Instance()
{
  static EventRing sRing;
  return sRing;
}

void
EventRing::SetInstanceName(const QString& aName)
{
  std::lock_guard lock(mMutex);
  mInstance = aName;
}

HybridTime
EventRing::Advance()
{
  const auto wall = WallTimeMicroseconds();
  if (wall > mLast.mWallUs) {
    mLast = { wall, 0 };
  } else {
    ++mLast.mLogical;
  }
  return mLast;
}

void
EventRing::Record(const QString& aComponent,
                  const QString& aKind,
                  const QString& aGroup,
                  uint64_t aTerm,
                  const QString& aDetail)
{
  std::lock_guard lock(mMutex);
  mEvents.push_back(
    { Advance(), mInstance, aComponent, aKind, aGroup, aTerm, aDetail });
  if (mEvents.size() > kCapacity) {
    mEvents.pop_front();
  }
}

void
EventRing::ObserveHybridTime(HybridTime aRemote)
{
  std::lock_guard lock(mMutex);
  mLast = std::max(mLast, aRemote);
}

HybridTime
EventRing::NextHybridTime()
{
  std::lock_guard lock(mMutex);
  return Advance();
}

QJsonArray
EventRing::EventsSince(int64_t aSinceUs) const
{
  std::lock_guard lock(mMutex);
  QJsonArray events;
  for (const auto& it : mEvents) {
    if (it.mTime.mWallUs >= aSinceUs) {
      events.append(it.ToJson());
    }
  }
  return events;
}

}
