#include "FakeUpstreams.h"

#include "platform/LineCallerProtocol.h"
#include "platform/LineUpstreamProtocol.h"

#include <algorithm>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kOneWayDelay = 1ms;
constexpr auto kTick = 20ms;

std::string
PositionText(LogPosition aPosition)
{
  return std::to_string(aPosition.mTerm) + "." +
         std::to_string(aPosition.mOffset);
}

}

class FakeUpstreams::Channel : public UpstreamChannel
{
public:
  Channel(FakeUpstreams& aFake, ChannelTarget aTarget, ChannelEvents aEvents)
    : mFake(aFake)
    , mName(std::move(aTarget.mUpstream))
    , mAccount(std::move(aTarget.mAccount))
    , mEvents(std::make_shared<ChannelEvents>(std::move(aEvents)))
  {
    const auto it = mFake.mDatabases.find(mName);
    if (it == mFake.mDatabases.end()) {
      return;
    }
    mFake.mOpenedChannels.emplace_back(mName, mEvents);
    auto& database = it->second;
    ++database.mOpenings;
    database.mOpenedFor.push_back(mAccount);
    if (!database.mIsReachable) {
      return;
    }
    StatementAnswer answer;
    answer.mPosition = database.mApplied;
    if (++database.mConnections > database.mMaxConnections) {
      answer.mError = Error{ ErrorKind::ConnectionLimit, "" };
    }
    mFake.Deliver(mEvents,
                  [answer](ChannelEvents& aTo) { aTo.mOnAnswer(answer); });
  }

  ~Channel() override
  {
    const auto it = mFake.mDatabases.find(mName);
    if (it != mFake.mDatabases.end() && it->second.mConnections > 0) {
      --it->second.mConnections;
    }
  }

  void Send(const UpstreamCommand& aCommand) override
  {
    auto& database = mFake.mDatabases.at(mName);
    if (!database.mIsReachable) {
      return;
    }
    const auto answer = mFake.Execute(database, aCommand, mState);
    database.mRanFor.resize(database.mRan.size(), mAccount);
    const bool isLost = database.mLosesAnswers &&
                        (aCommand.mType == CommandType::Forward ||
                         aCommand.mType == CommandType::ForwardPrepared);
    if (!database.mLosesAllAnswers && !isLost) {
      mFake.Deliver(mEvents,
                    [answer](ChannelEvents& aTo) { aTo.mOnAnswer(answer); });
    }
  }

private:
  FakeUpstreams& mFake;
  std::string mName;
  std::string mAccount;
  std::shared_ptr<ChannelEvents> mEvents;
  TransactionState mState = TransactionState::None;
};

FakeUpstreams::FakeUpstreams(Acknowledgement aAcknowledgement,
                             QuotaGate* aQuota,
                             std::optional<Duration> aAuthorityTimeout)
  : mAcknowledgement(aAcknowledgement)
  , mQuota(aQuota)
  , mAuthorityTimeout(aAuthorityTimeout)
  , mRouter(std::make_unique<RelayRouter>(MakeEnvironment()))
{
  AddMember("a", Role::Primary);
  AddMember("b", Role::Replica);
  AddMember("c", Role::Replica);
  RelayRoute route;
  route.mDatabase = "db";
  route.mGroup = "g";
  SetRoute(route);
  Publish();
  Run(200ms);
}

FakeUpstreams::~FakeUpstreams()
{
  mRouter.reset();
}

RelayEnvironment
FakeUpstreams::MakeEnvironment()
{
  RelayEnvironment environment;
  environment.mNow = [this] { return mNow; };
  environment.mMakeProtocol = platform::LineUpstreamProtocol::Create;
  environment.mFailureDomain = "d1";
  environment.mAcknowledgement = mAcknowledgement;
  environment.mQuota = mQuota;
  environment.mLeaseGrant = [this] {
    return mGrant && mNow < mGrant->mValidUntil ? mGrant : std::nullopt;
  };
  environment.mAcquireLease = [this](const std::string&) {
    if (mIsLeaseFree) {
      mGrant = LeaseGrant{ 1, mNow + 2500ms };
    } else {
      Group().OnLeaseRefused(mNow + 1s);
    }
  };
  environment.mOrderPromotion = [this](const std::string&,
                                       const std::string& aUpstream) {
    mOrders.push_back(aUpstream);
    if (mIsPromoting) {
      Promote(aUpstream);
    }
  };
  environment.mAuthorityTimeout = mAuthorityTimeout;
  environment.mLog = [this](const std::string& aEvent, const auto&) {
    mLog.push_back(aEvent);
  };
  environment.mOpenChannel = [this](const ChannelTarget& aTarget,
                                    ChannelEvents aEvents) {
    return std::make_unique<Channel>(*this, aTarget, std::move(aEvents));
  };
  return environment;
}

void
FakeUpstreams::AddMember(const std::string& aName, Role aRole, bool aIsLeaving)
{
  mDatabases[aName].mRole = aRole;
  DirectoryEntry entry;
  entry.mGroup = "g";
  entry.mMember.mName = aName;
  entry.mMember.mFailureDomain = aName == "b" ? "d1" : "d2";
  entry.mMember.mSlots = 3;
  entry.mMember.mIsLeaving = aIsLeaving;
  entry.mMember.mListedRole = aRole;
  mEntries.push_back(entry);
}

void
FakeUpstreams::SetLeaving(const std::string& aName)
{
  for (auto& it : mEntries) {
    it.mMember.mIsLeaving |= it.mMember.mName == aName;
  }
}

void
FakeUpstreams::RemoveMember(const std::string& aName)
{
  std::erase_if(mEntries,
                [&](const auto& it) { return it.mMember.mName == aName; });
}

void
FakeUpstreams::Restart(const std::string& aName)
{
  for (auto& it : mEntries) {
    it.mMember.mStartedMs += it.mMember.mName == aName ? 1 : 0;
  }
  Publish();
}

void
FakeUpstreams::ResetConnections(const std::string& aName)
{
  const auto channels = std::exchange(mOpenedChannels, {});
  for (const auto& [name, weak] : channels) {
    const auto events = weak.lock();
    if (events && name == aName) {
      const auto onClosed = events->mOnClosed;
      onClosed({ ErrorKind::Unreachable, "reset" });
    } else if (events) {
      mOpenedChannels.emplace_back(name, weak);
    }
  }
}

void
FakeUpstreams::Publish()
{
  mRouter->SetDirectory(mEntries);
}

void
FakeUpstreams::SetRoute(const RelayRoute& aRoute)
{
  ++mConfiguration.mVersion;
  mConfiguration.mRoutes = { aRoute };
  mConfiguration.mGroups = { { "g", mMaxConnections, 0 } };
  mRouter->ApplyConfigurationIfNewer(mConfiguration);
}

void
FakeUpstreams::SetAccounts(std::vector<ClientAccount> aAccounts)
{
  ++mConfiguration.mVersion;
  mConfiguration.mAccounts =
    std::make_shared<const ClientAccounts>(std::move(aAccounts));
  mRouter->ApplyConfigurationIfNewer(mConfiguration);
}

void
FakeUpstreams::Promote(const std::string& aName)
{
  uint64_t term = 0;
  for (const auto& [name, it] : mDatabases) {
    term = std::max(term, it.mTerm + 1);
  }
  for (auto& [name, it] : mDatabases) {
    it.mFencedTerm = 0;
  }
  auto& database = At(aName);
  database.mRole = Role::Primary;
  database.mTerm = term;
  database.mApplied = database.mReceived;
}

void
FakeUpstreams::Replicate()
{
  const auto primary =
    std::ranges::max_element(mDatabases, {}, [](const auto& it) {
      return std::pair(it.second.mRole == Role::Primary, it.second.mTerm);
    });
  auto& source = primary->second;
  if (source.mRole != Role::Primary || !source.mIsReplicating) {
    return;
  }
  for (auto& [name, it] : mDatabases) {
    if (&it == &source || it.mFencedTerm != 0 || !it.mIsReplicating ||
        (it.mRole == Role::Primary && !it.mIsReachable)) {
      continue;
    }
    if (it.mRole == Role::Primary && it.mTerm < source.mTerm) {
      // A replaced primary keeps its role until the test changes it.
      continue;
    }
    it.mTerm = source.mTerm;
    it.mReceived = source.mReceived;
    it.mApplied = it.mIsApplying ? it.mReceived : it.mApplied;
  }
}

void
FakeUpstreams::Deliver(const std::shared_ptr<ChannelEvents>& aEvents,
                       std::function<void(ChannelEvents&)> aDeliver)
{
  mPending.push_back({ mNow + 2 * kOneWayDelay, aEvents, std::move(aDeliver) });
}

void
FakeUpstreams::Run(Milliseconds aTime)
{
  const auto until = mNow + aTime;
  Group().SetPlacement({ mIsHome, mInstances });
  while (mNow < until) {
    mNow += 1ms;
    Replicate();
    while (!mPending.empty() && mPending.front().mAt <= mNow) {
      const auto pending = std::move(mPending.front());
      mPending.pop_front();
      if (const auto events = pending.mEvents.lock()) {
        pending.mDeliver(*events);
      }
    }
    if (mOnStep) {
      mOnStep();
    }
    if (mNow >= mNextTick) {
      mNextTick = mNow + kTick;
      mRouter->Tick();
    }
  }
}

StatementAnswer
FakeUpstreams::StatusAnswer(const Database& aDatabase) const
{
  StatementAnswer answer;
  const auto* role = aDatabase.mRole == Role::Primary ? "primary" : "replica";
  answer.mRows = { std::string(role) + " " + std::to_string(aDatabase.mTerm) +
                   " " + PositionText(aDatabase.mReceived) + " " +
                   std::to_string(aDatabase.mFencedTerm) + " 0 0 " +
                   std::to_string(aDatabase.mConnections) };
  answer.mSignature = "-";
  return answer;
}

StatementAnswer
FakeUpstreams::RunStatement(Database& aDatabase,
                            const UpstreamCommand& aCommand,
                            TransactionState& aState)
{
  StatementAnswer answer;
  const bool isCommit = aCommand.mText == "COMMIT";
  const bool isWrite = aCommand.mText.starts_with("WRITE");
  if (aDatabase.mRefusals > 0) {
    --aDatabase.mRefusals;
    answer.mError = Error{ *aDatabase.mRefusal, "" };
  } else if (isWrite && aDatabase.mRole != Role::Primary) {
    answer.mError = Error{ ErrorKind::NotPrimary, "" };
  } else if (aCommand.mMinPosition &&
             aDatabase.mApplied < *aCommand.mMinPosition) {
    answer.mError = Error{ ErrorKind::TooStale, "" };
  }
  if (answer.mError) {
    if (aState == TransactionState::Open) {
      aState = TransactionState::Failed;
    }
    return answer;
  }
  aDatabase.mRan.push_back(aCommand.mId + " " + aCommand.mText);
  answer.mSignature = "signed";
  const bool commits = (isWrite && aState == TransactionState::None) ||
                       (isCommit && aDatabase.mRole == Role::Primary);
  if (commits) {
    aDatabase.mReceived = { aDatabase.mTerm, aDatabase.mReceived.mOffset + 1 };
    aDatabase.mApplied = aDatabase.mReceived;
  }
  if (isCommit) {
    aState = TransactionState::None;
  }
  return answer;
}

StatementAnswer
FakeUpstreams::Execute(Database& aDatabase,
                       const UpstreamCommand& aCommand,
                       TransactionState& aState)
{
  aDatabase.mArrived.push_back(aCommand);
  StatementAnswer answer;
  answer.mSignature = "-";
  switch (aCommand.mType) {
    case CommandType::Forward:
    case CommandType::ForwardPrepared:
      answer = RunStatement(aDatabase, aCommand, aState);
      break;
    case CommandType::Begin:
    case CommandType::BeginReadOnly:
      if (aCommand.mType == CommandType::Begin &&
          aDatabase.mRole != Role::Primary) {
        answer.mError = Error{ ErrorKind::NotPrimary, "" };
      } else if (aCommand.mMinPosition &&
                 aDatabase.mApplied < *aCommand.mMinPosition) {
        answer.mError = Error{ ErrorKind::TooStale, "" };
      } else {
        aState = TransactionState::Open;
      }
      break;
    case CommandType::Rollback:
      aState = TransactionState::None;
      break;
    case CommandType::Status:
      answer = StatusAnswer(aDatabase);
      if (aDatabase.mIsWithoutSlots) {
        answer.mError = Error{ ErrorKind::QueueFull, "" };
      }
      break;
    case CommandType::Fence:
      aDatabase.mFencedTerm = aCommand.mTerm;
      answer = StatusAnswer(aDatabase);
      break;
    case CommandType::Resume:
      aDatabase.mFencedTerm = 0;
      answer = StatusAnswer(aDatabase);
      break;
    case CommandType::StepDown:
      aDatabase.mRole = Role::Replica;
      answer = StatusAnswer(aDatabase);
      break;
    default:
      break;
  }
  answer.mTransactionState = aState;
  if (!aDatabase.mWithoutPosition.contains(aCommand.mType)) {
    answer.mPosition = aDatabase.mApplied;
  }
  return answer;
}

std::unique_ptr<FakeUpstreams::Caller>
FakeUpstreams::Connect(const std::string& aDatabase, const std::string& aKey)
{
  auto caller = std::make_unique<Caller>();
  caller->mSession = std::make_shared<RelaySession>(
    *mRouter,
    aDatabase,
    aKey,
    [it = caller.get()](const StatementAnswer& aAnswer) {
      it->mAnswers.push_back(aAnswer);
    });
  return caller;
}

void
FakeUpstreams::Caller::Send(const std::string& aText)
{
  static int sRequests = 0;
  const auto id = "r" + std::to_string(++sRequests);
  const auto statement = platform::ParseStatement(id, aText);
  if (statement.IsError()) {
    mSession->HandleInvalid(statement.GetError());
  } else {
    mSession->Handle(statement.Value());
  }
}

std::optional<ErrorKind>
FakeUpstreams::Caller::LastError() const
{
  return mAnswers.empty() || !mAnswers.back().mError
           ? std::nullopt
           : std::optional(mAnswers.back().mError->mKind);
}

}
