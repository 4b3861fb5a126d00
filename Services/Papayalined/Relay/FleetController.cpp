#include "FleetController.h"

#include "LibCore/StructuredLog.h"

#include <QJsonObject>
#include <QTimer>
#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

const QString kKind = "papayaline-instances";
const QString kDomain = "domain";
const QString kAddress = "address";
const QString kWeight = "weight";
/// Instances that start together have announced themselves by then.
constexpr auto kSecondList = 3s;
/// Between two lists for the sake of instances that are not known.
constexpr Duration kRequestedList = 1s;
/// After the store did not answer.
constexpr Duration kRetryDelay = 5s;

void
Log(const std::string& aEvent, const LogFields& aFields)
{
  StructuredLog::Instance().Write(LogPriority::Decision, aEvent, aFields);
}

}

FleetController::FleetController(ObjectStore& aStore,
                                 InstanceInfo aSelf,
                                 std::string aIncarnation,
                                 UpstreamLink::Clock aClock,
                                 std::function<void()> aOnChange)
  : mStore(aStore)
  , mSelf(std::move(aSelf))
  , mInstance(QString::fromStdString(mSelf.mName))
  , mIncarnation(QString::fromStdString(aIncarnation))
  , mClock(std::move(aClock))
  , mOnChange(std::move(aOnChange))
{
}

bool
FleetController::IsKnownHost(const std::string& aHost) const
{
  return std::ranges::any_of(Live(), [&](const auto& it) {
    return it.mAddress.starts_with(aHost + ":");
  });
}

void
FleetController::RequestList()
{
  if (mClock() - mLastListAt >= kRequestedList) {
    mLastListAt = mClock();
    mStore.List(
      kKind, [this](const Result<ObjectBatch>& aBatch) { TakeList(aBatch); });
  }
}

void
FleetController::Start()
{
  List([this] { Announce(); });
  QTimer::singleShot(kSecondList, this, [this] { List(); });
}

void
FleetController::List(std::function<void()> aOnDone)
{
  mLastListAt = mClock();
  mStore.ListStale(kKind, [=, this](const Result<ObjectBatch>& aBatch) {
    TakeList(aBatch);
    if (aOnDone) {
      aOnDone();
    }
  });
}

void
FleetController::TakeList(const Result<ObjectBatch>& aBatch)
{
  if (aBatch.IsError()) {
    Log("fleet.unknown", { { "error", aBatch.GetError().mMessage } });
    return;
  }
  std::vector<FleetEntry> entries;
  std::ranges::transform(aBatch.Value().mObjects,
                         std::back_inserter(entries),
                         [this](const auto& it) { return ReadEntry(it); });
  const auto before = mView.Live();
  mView.Observe(entries, mClock());
  if (mView.Live() != before) {
    Log("fleet.changed",
        { { "instances", std::to_string(mView.Live().size()) } });
    mOnChange();
  }
  if (!mRevision) {
    const auto own = std::ranges::find(
      aBatch.Value().mObjects, mInstance, &StoredObject::mName);
    mRevision = own != aBatch.Value().mObjects.end() ? own->mRevision : 0;
  }
}

/// An entry without an address, by an instance of an older version, counts as
/// an instance that takes nothing from others.
FleetEntry
FleetController::ReadEntry(const StoredObject& aObject) const
{
  FleetEntry entry;
  entry.mRevision = aObject.mRevision;
  entry.mInstance.mName = aObject.mName.toStdString();
  entry.mInstance.mFailureDomain =
    aObject.mContent[kDomain].toString().toStdString();
  entry.mInstance.mAddress =
    aObject.mContent[kAddress].toString().toStdString();
  const auto weight = aObject.mContent[kWeight].toInt();
  entry.mInstance.mWeight = static_cast<unsigned>(std::max(weight, 1));
  return entry;
}

void
FleetController::Announce()
{
  if (mRevision) {
    Write();
  } else {
    ReadRevision();
  }
}

/// The entry may be there from an earlier life of this instance, and the list
/// may have been old.
void
FleetController::ReadRevision()
{
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
  const QJsonObject content{
    { "incarnation", mIncarnation },
    { "sequence", static_cast<qint64>(++mSequence) },
    { kDomain, QString::fromStdString(mSelf.mFailureDomain) },
    { kAddress, QString::fromStdString(mSelf.mAddress) },
    { kWeight, static_cast<int>(mSelf.mWeight) }
  };
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
  auto delay = mView.RefreshInterval();
  if (aObject.IsError()) {
    // The write may have taken effect: the revision is read again.
    mRevision.reset();
    if (aObject.GetError().mKind == ErrorKind::Conflict) {
      ReadRevision();
      return;
    }
    delay = kRetryDelay;
    Log("fleet.unannounced", { { "error", aObject.GetError().mMessage } });
  } else {
    mRevision = aObject.Value().mRevision;
  }
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(delay);
  QTimer::singleShot(wait, this, [this] { List([this] { Announce(); }); });
}

}
