#include "FleetController.h"

#include "LibCore/StructuredLog.h"

#include <QJsonObject>
#include <QRandomGenerator>
#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

const QString kKind = "papayaline-instances";
const QString kDomainKey = "domain";
const QString kAddressKey = "address";
const QString kWeightKey = "weight";
/// After this time, instances that started together have all registered.
constexpr auto kSecondListDelay = 3s;
/// Minimum time after a list before an unlisted host causes another.
constexpr Duration kMinRequestInterval = 1s;
/// Spreads the announcements of all instances after the store was restored.
constexpr int kMaxRestoreDelayMs = 1000;
/// After a failed write or read of the own entry.
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
  , mInstanceName(QString::fromStdString(mSelf.mName))
  , mIncarnation(QString::fromStdString(aIncarnation))
  , mClock(std::move(aClock))
  , mOnChange(std::move(aOnChange))
{
  mAnnounceTimer.setSingleShot(true);
  connect(&mAnnounceTimer, &QTimer::timeout, this, [this] {
    List([this] { Announce(); });
  });
}

void
FleetController::OnStoreRestored()
{
  mOwnRevision.reset();
  mAnnounceTimer.start(QRandomGenerator::global()->bounded(kMaxRestoreDelayMs));
}

bool
FleetController::IsKnownHost(const std::string& aHost) const
{
  return std::ranges::any_of(LiveInstances(), [&](const auto& it) {
    return it.mAddress.starts_with(aHost + ":");
  });
}

void
FleetController::RequestList()
{
  if (mClock() - mLastListAt >= kMinRequestInterval) {
    mLastListAt = mClock();
    mStore.List(
      kKind, [this](const Result<ObjectBatch>& aBatch) { OnListed(aBatch); });
  }
}

void
FleetController::Start()
{
  List([this] { Announce(); });
  QTimer::singleShot(kSecondListDelay, this, [this] { List(); });
}

void
FleetController::List(std::function<void()> aOnDone)
{
  mLastListAt = mClock();
  mStore.ListStale(kKind, [=, this](const Result<ObjectBatch>& aBatch) {
    OnListed(aBatch);
    if (aOnDone) {
      aOnDone();
    }
  });
}

void
FleetController::OnListed(const Result<ObjectBatch>& aBatch)
{
  if (aBatch.IsError()) {
    Log("fleet.unknown", { { "error", aBatch.GetError().mMessage } });
    return;
  }
  std::vector<FleetEntry> entries;
  std::ranges::transform(aBatch.Value().mObjects,
                         std::back_inserter(entries),
                         [this](const auto& it) { return ParseEntry(it); });
  if (!mListingAtStart) {
    const bool isListed =
      std::ranges::find(aBatch.Value().mObjects,
                        mInstanceName,
                        &StoredObject::mName) != aBatch.Value().mObjects.end();
    mListingAtStart = isListed ? StartListing::Listed : StartListing::NotListed;
  }
  const auto before = mView.LiveInstances();
  mView.Observe(entries, aBatch.Value().mStoreRevision.mEra, mClock());
  if (mView.LiveInstances() != before) {
    Log("fleet.changed",
        { { "instances", std::to_string(mView.LiveInstances().size()) } });
    mOnChange();
  }
  if (!mOwnRevision) {
    const auto own = std::ranges::find(
      aBatch.Value().mObjects, mInstanceName, &StoredObject::mName);
    mOwnRevision =
      own != aBatch.Value().mObjects.end() ? own->mRevision : StoreRevision{};
  }
}

/// An instance of an older version writes no address. It is listed, but other
/// instances forward nothing to it.
FleetEntry
FleetController::ParseEntry(const StoredObject& aObject) const
{
  FleetEntry entry;
  entry.mRevision = aObject.mRevision;
  entry.mInstance.mName = aObject.mName.toStdString();
  entry.mInstance.mFailureDomain =
    aObject.mContent[kDomainKey].toString().toStdString();
  entry.mInstance.mAddress =
    aObject.mContent[kAddressKey].toString().toStdString();
  const auto weight = aObject.mContent[kWeightKey].toInt();
  entry.mInstance.mWeight = static_cast<unsigned>(std::max(weight, 1));
  return entry;
}

void
FleetController::Announce()
{
  if (mOwnRevision) {
    WriteEntry();
  } else {
    FetchRevision();
  }
}

/// An earlier incarnation of this instance may have left an entry that a stale
/// list does not show yet.
void
FleetController::FetchRevision()
{
  mStore.Get(kKind, mInstanceName, [this](const Result<StoredObject>& aObject) {
    if (!aObject.IsError()) {
      mOwnRevision = aObject.Value().mRevision;
    } else if (aObject.GetError().mKind == ErrorKind::NotFound) {
      mOwnRevision = StoreRevision{};
    } else {
      OnWritten(aObject);
      return;
    }
    WriteEntry();
  });
}

void
FleetController::WriteEntry()
{
  const QJsonObject content{
    { "incarnation", mIncarnation },
    { "sequence", static_cast<qint64>(++mSequence) },
    { kDomainKey, QString::fromStdString(mSelf.mFailureDomain) },
    { kAddressKey, QString::fromStdString(mSelf.mAddress) },
    { kWeightKey, static_cast<int>(mSelf.mWeight) }
  };
  mStore.Put(
    kKind,
    mInstanceName,
    *mOwnRevision,
    content,
    [this](const Result<StoredObject>& aObject) { OnWritten(aObject); });
}

void
FleetController::OnWritten(const Result<StoredObject>& aObject)
{
  auto delay = mView.RefreshInterval();
  if (aObject.IsError()) {
    // The write may have taken effect, so the revision must be read again.
    mOwnRevision.reset();
    const auto kind = aObject.GetError().mKind;
    if (kind == ErrorKind::Conflict || kind == ErrorKind::NotFound) {
      FetchRevision();
      return;
    }
    delay = kRetryDelay;
    Log("fleet.unannounced", { { "error", aObject.GetError().mMessage } });
  } else if (aObject.Value().mRevision.mEra < mStore.Era()) {
    OnStoreRestored();
    return;
  } else {
    mOwnRevision = aObject.Value().mRevision;
  }
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(delay);
  mAnnounceTimer.start(wait);
}

}
