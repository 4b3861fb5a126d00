#include "PromotionLeaseController.h"

#include "LibCore/StructuredLog.h"
#include "LibDecision/Overloaded.h"

#include <QJsonObject>

namespace papayaline {

namespace {

constexpr const char kKind[] = "papayaline-duties";
constexpr const char kName[] = "promotion";
/// After a failed call to the store, including a conflicting write.
constexpr auto kRetryDelay = std::chrono::milliseconds(200);

QJsonObject
ToJson(const LeaseRecord& aRecord)
{
  return { { "holder", QString::fromStdString(aRecord.mHolder) },
           { "incarnation", QString::fromStdString(aRecord.mIncarnation) },
           { "sequence", static_cast<qint64>(aRecord.mSequence) },
           { "released", aRecord.mIsReleased },
           { "era", static_cast<qint64>(aRecord.mEra) } };
}

StoredLease
ParseRecord(const StoredObject& aObject)
{
  const auto& json = aObject.mContent;
  return { { json["holder"].toString().toStdString(),
             json["incarnation"].toString().toStdString(),
             static_cast<uint64_t>(json["sequence"].toInteger()),
             json["released"].toBool(),
             static_cast<uint64_t>(json["era"].toInteger()) },
           aObject.mRevision };
}

std::string
DescribeRefusal(const std::optional<StoredLease>& aStored)
{
  if (!aStored) {
    return "the store was restored and has no record";
  }
  const auto& record = aStored->mRecord;
  return (record.mEra == aStored->mRevision.mEra
            ? "held by "
            : "written before the store was restored, by ") +
         record.mHolder;
}

void
Log(const std::string& aEvent, const LogFields& aFields)
{
  StructuredLog::Instance().Write(LogPriority::Decision, aEvent, aFields);
}

}

PromotionLeaseController::PromotionLeaseController(ObjectStore& aStore,
                                                   PromotionService& aPromotion,
                                                   std::string aInstance,
                                                   std::string aIncarnation,
                                                   UpstreamLink::Clock aClock)
  : mStore(aStore)
  , mPromotion(aPromotion)
  , mInstance(aInstance)
  , mLease(std::move(aInstance), std::move(aIncarnation))
  , mClock(std::move(aClock))
{
}

void
PromotionLeaseController::Acquire(const std::string& aGroup)
{
  mWaitingGroups.insert(aGroup);
  if (mIsAcquiring) {
    return;
  }
  mIsAcquiring = true;
  mStore.Get(kKind, kName, [this](const Result<StoredObject>& aObject) {
    if (aObject.IsError() && aObject.GetError().mKind != ErrorKind::NotFound) {
      NotifyRefused(mClock() + kRetryDelay, aObject.GetError().mMessage);
      return;
    }
    mLease.ObserveEra(mStore.Era(), mClock());
    const auto stored = aObject.IsError()
                          ? std::nullopt
                          : std::optional(ParseRecord(aObject.Value()));
    std::visit(Overloaded{ [this](const WriteLease& it) { WriteRecord(it); },
                           [&](const WaitForLeaseHolder& it) {
                             NotifyRefused(it.mUntil, DescribeRefusal(stored));
                           } },
               mLease.Decide(stored, mClock()));
  });
}

void
PromotionLeaseController::ObserveEra(uint64_t aEra)
{
  if (!mLease.ObserveEra(aEra, mClock())) {
    return;
  }
  mStore.Get(kKind, kName, [this](const Result<StoredObject>& aObject) {
    if (!aObject.IsError()) {
      mLease.ObserveRecord(ParseRecord(aObject.Value()), mClock());
    } else if (aObject.GetError().mKind != ErrorKind::NotFound) {
      Log("duty.unread", { { "error", aObject.GetError().mMessage } });
    }
  });
}

void
PromotionLeaseController::WriteRecord(const WriteLease& aWrite)
{
  const auto sentAt = mClock();
  mStore.Put(kKind,
             kName,
             aWrite.mExpectedRevision,
             ToJson(aWrite.mRecord),
             [this, sentAt](const Result<StoredObject>& aObject) {
               if (aObject.IsError()) {
                 NotifyRefused(mClock() + kRetryDelay,
                               aObject.GetError().mMessage);
                 return;
               }
               const auto& revision = aObject.Value().mRevision;
               const auto grant = mLease.OnAcquired(revision, sentAt);
               if (!grant) {
                 NotifyRefused(mClock() + kRetryDelay,
                               "the store was restored before the write");
                 return;
               }
               mIsAcquiring = false;
               mWaitingGroups.clear();
               Log("duty.taken",
                   { { "token", std::to_string(grant->mToken) },
                     { "revision", revision.ToString() } });
             });
}

void
PromotionLeaseController::NotifyRefused(Instant aRetryAt,
                                        const std::string& aReason)
{
  mIsAcquiring = false;
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRetryAt - mClock());
  Log("duty.refused",
      { { "reason", aReason }, { "retryInMs", std::to_string(wait.count()) } });
  const auto waiting = std::exchange(mWaitingGroups, {});
  for (const auto& it : waiting) {
    if (const auto group = mRouter->FindGroup(it)) {
      group->OnLeaseRefused(aRetryAt);
    }
  }
}

void
PromotionLeaseController::OrderPromotion(const std::string& aGroup,
                                         const std::string& aUpstream)
{
  const auto answer = [this, aGroup, aUpstream](PromotionAnswer aAnswer) {
    Log("promotion.answered",
        { { "group", aGroup },
          { "upstream", aUpstream },
          { "answer", std::to_string(static_cast<int>(aAnswer)) } });
    if (const auto group = mRouter->FindGroup(aGroup)) {
      group->OnPromotionAnswer(aUpstream, aAnswer);
    }
  };
  // The lease is checked again, because the process may have been suspended
  // since the order was decided.
  const auto now = mClock();
  const auto grant = mLease.Grant(now);
  if (!grant) {
    Log("promotion.withheld", { { "group", aGroup }, { "reason", "expired" } });
    return;
  }
  mLease.OnPromotionOrdered(now);
  Log("promotion.ordered",
      { { "group", aGroup },
        { "upstream", aUpstream },
        { "token", std::to_string(grant->mToken) } });
  mPromotion.Promote(aGroup, aUpstream, mInstance, grant->mToken, answer);
}

void
PromotionLeaseController::Tick()
{
  const auto release = mLease.ReleaseIfDue(mClock());
  if (!release || mIsAcquiring) {
    return;
  }
  mStore.Put(kKind,
             kName,
             release->mExpectedRevision,
             ToJson(release->mRecord),
             [](const Result<StoredObject>& aObject) {
               Log("duty.released",
                   { { "error",
                       aObject.IsError() ? aObject.GetError().mMessage
                                         : std::string() } });
             });
}

}
