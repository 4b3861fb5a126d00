#include "FleetController.h"

#include "LibCore/StructuredLog.h"

#include <QJsonObject>
#include <QTimer>
#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

const QString kKind = "papayaline-instances";
/// Instances that start together have announced themselves by then.
constexpr auto kSecondList = 3s;
/// After the store did not answer.
constexpr Duration kRetryDelay = 5s;

void
Log(const std::string& aEvent, const LogFields& aFields)
{
  StructuredLog::Instance().Write(LogPriority::Decision, aEvent, aFields);
}

}

FleetController::FleetController(ObjectStore& aStore,
                                 std::string aInstance,
                                 std::string aIncarnation,
                                 UpstreamLink::Clock aClock)
  : mStore(aStore)
  , mInstance(QString::fromStdString(aInstance))
  , mIncarnation(QString::fromStdString(aIncarnation))
  , mClock(std::move(aClock))
{
}

void
FleetController::Start()
{
  List();
  Announce();
  QTimer::singleShot(kSecondList, this, [this] { List(); });
}

void
FleetController::List()
{
  mStore.ListStale(kKind, [this](const Result<ObjectBatch>& aBatch) {
    if (aBatch.IsError()) {
      Log("fleet.unknown", { { "error", aBatch.GetError().mMessage } });
      return;
    }
    std::vector<FleetEntry> entries;
    std::ranges::transform(
      aBatch.Value().mObjects,
      std::back_inserter(entries),
      [](const StoredObject& it) {
        return FleetEntry{ it.mName.toStdString(), it.mRevision };
      });
    const auto now = mClock();
    const auto before = mView.Count(now);
    mView.Observe(entries, now);
    if (const auto count = mView.Count(now); count != before) {
      Log("fleet.changed", { { "instances", std::to_string(count) } });
    }
  });
}

/// The entry may be there from an earlier life of this instance.
void
FleetController::Announce()
{
  if (mRevision) {
    Write();
    return;
  }
  mStore.Get(kKind, mInstance, [this](const Result<StoredObject>& aObject) {
    if (!aObject.IsError()) {
      mRevision = aObject.Value().mRevision;
    } else if (aObject.GetError().mKind == ErrorKind::NotFound) {
      mRevision = 0;
    } else {
      OnWritten(aObject);
      return;
    }
    Write();
  });
}

void
FleetController::Write()
{
  const QJsonObject content{ { "incarnation", mIncarnation },
                             { "sequence", static_cast<qint64>(++mSequence) } };
  mStore.Put(
    kKind,
    mInstance,
    *mRevision,
    content,
    [this](const Result<StoredObject>& aObject) { OnWritten(aObject); });
}

void
FleetController::OnWritten(const Result<StoredObject>& aObject)
{
  auto delay = mView.RefreshInterval(mClock());
  if (aObject.IsError()) {
    // The write may have taken effect: the revision is read again.
    mRevision.reset();
    delay = kRetryDelay;
    Log("fleet.unannounced", { { "error", aObject.GetError().mMessage } });
  } else {
    mRevision = aObject.Value().mRevision;
  }
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(delay);
  QTimer::singleShot(wait, this, [this] {
    List();
    Announce();
  });
}

}
