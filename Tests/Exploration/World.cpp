#include "World.h"

#include "LibDecision/Overloaded.h"

#include <algorithm>
#include <array>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr size_t kMaxMessages = 40;
constexpr size_t kMaxWrites = 12;
constexpr size_t kMaxReads = 12;

std::string
DatabaseName(size_t aIndex)
{
  return "d" + std::to_string(aIndex);
}

std::string
DoneEntry(size_t aWrite)
{
  return "done:" + std::to_string(aWrite);
}

std::string
TombstonePrefix(size_t aWrite)
{
  return "tombstone:" + std::to_string(aWrite) + ":";
}

}

World::World(uint64_t aSeed, RuleSet aRules)
  : mRandom(aSeed)
  , mRules(aRules)
  , mNow(Instant() + 1h)
  , mViews(kCoordinators)
{
  FailoverSettings settings;
  settings.mRules = aRules;
  FailoverIdentity identity;
  identity.mGroup = "g";
  identity.mPeerCount = 1;
  for (size_t it = 0; it < kDatabases; ++it) {
    mDatabases.emplace_back(DatabaseName(it), aRules);
    identity.mUpstreams.push_back(DatabaseName(it));
  }
  // In half of the runs both coordinators use the same terms.
  const bool useSameTerms = aSeed % 2 == 0;
  for (size_t it = 0; it < kCoordinators; ++it) {
    identity.mInstance = "h" + std::to_string(it);
    identity.mCoordinatorIndex = useSameTerms ? 0 : static_cast<unsigned>(it);
    mCoordinators.emplace_back(identity, settings);
  }
  Bootstrap();
}

/// Promotes the first database, so that a run starts with a working group.
void
World::Bootstrap()
{
  const std::string attempt = "bootstrap";
  for (size_t it = 0; it < kDatabases; ++it) {
    mDatabases[it].Fence(1, attempt);
    if (it == 0) {
      mDatabases[it].Promote(1, attempt);
    } else {
      mDatabases[it].Follow(1, attempt, DatabaseName(0));
      mStreams.push_back({ 0, it, 1 });
    }
  }
}

size_t
World::Pick(size_t aCount)
{
  return std::uniform_int_distribution<size_t>(0, aCount - 1)(mRandom);
}

bool
World::Chance(unsigned aPercent)
{
  return Pick(100) < aPercent;
}

size_t
World::IndexOf(const std::string& aDatabase) const
{
  const auto it = std::ranges::find(mDatabases, aDatabase, &ReplicaState::Name);
  return static_cast<size_t>(it - mDatabases.begin());
}

void
World::RecordViolation(const std::string& aText)
{
  if (!mViolation) {
    mViolation = aText;
  }
}

std::optional<std::string>
World::Run(int aSteps)
{
  for (int it = 0; it < aSteps && !mViolation; ++it) {
    Step();
  }
  if (!mViolation) {
    Heal();
  }
  return mViolation;
}

void
World::Step()
{
  struct Choice
  {
    unsigned mWeight;
    void (World::*mStep)();
  };
  static constexpr std::array kChoices = {
    Choice{ 6, &World::AdvanceClock },
    Choice{ 16, &World::TickCoordinator },
    Choice{ 24, &World::RequestStatus },
    Choice{ 50, &World::DeliverMessage },
    Choice{ 16, &World::Replicate },
    Choice{ 1, &World::RestartDatabase },
    Choice{ 6, &World::StartWrite },
    Choice{ 12, &World::ProgressWrite },
    Choice{ 5, &World::StartRead },
    Choice{ 10, &World::ProgressRead },
    Choice{ 2, &World::AppendOtherWrites },
    Choice{ 2, &World::TogglePartition },
  };
  static const unsigned sTotal = [] {
    unsigned total = 0;
    for (const auto& it : kChoices) {
      total += it.mWeight;
    }
    return total;
  }();
  size_t at = Pick(sTotal);
  for (const auto& it : kChoices) {
    if (at < it.mWeight) {
      (this->*it.mStep)();
      return;
    }
    at -= it.mWeight;
  }
}

void
World::AdvanceClock()
{
  static constexpr std::array kSteps = { 1ms, 10ms, 100ms, 400ms, 1000ms };
  mNow += kSteps[Pick(kSteps.size())];
}

void
World::TickCoordinator()
{
  if (Chance(10)) {
    mStalledCoordinator = Pick(kCoordinators + 1);
  }
  const auto coordinator = Pick(kCoordinators);
  if (coordinator != mStalledCoordinator) {
    Feed(coordinator, Tick{});
  }
}

void
World::RequestStatus()
{
  ReportMessage message{ Pick(kCoordinators),
                         mDatabases[Pick(kDatabases)].Report() };
  message.mReport.mRequestedAt = mNow;
  mMessages.push_back(message);
}

/// Delivers a random message, delivers it and keeps a duplicate, or loses it.
void
World::DeliverMessage()
{
  if (mMessages.size() > kMaxMessages) {
    mMessages.erase(mMessages.begin());
  }
  if (mMessages.empty()) {
    return;
  }
  const auto at = Pick(mMessages.size());
  const auto message = mMessages[at];
  // Connections don't duplicate writes, resolutions and reads; the protocol
  // sends writes and resolutions again itself.
  const bool mayRepeat = message.index() <= 2;
  if (!mayRepeat || !Chance(15)) {
    mMessages.erase(mMessages.begin() + static_cast<long>(at));
  }
  if (Chance(10)) {
    return;
  }
  std::visit([this](const auto& aIt) { Deliver(aIt); }, message);
}

void
World::Deliver(const CommandMessage& aMessage)
{
  const auto& command = aMessage.mCommand;
  auto& database = mDatabases[IndexOf(command.mUpstream)];
  if (IndexOf(command.mUpstream) == mPartitionedDatabase) {
    return;
  }
  const bool wasPrimary = database.IsPrimary();
  bool granted = false;
  switch (command.mKind) {
    case CommandKind::Fence:
      granted = database.Fence(command.mTerm, command.mAttempt);
      break;
    case CommandKind::Promote:
      granted = database.Promote(command.mTerm, command.mAttempt);
      break;
    case CommandKind::Follow:
      granted =
        database.Follow(command.mTerm, command.mAttempt, command.mTarget);
      if (granted) {
        mStreams.push_back({ IndexOf(command.mTarget),
                             IndexOf(command.mUpstream),
                             command.mTerm });
      }
      break;
    case CommandKind::Quiesce:
      granted = database.IsPrimary();
      break;
  }
  if (database.IsPrimary() && !wasPrimary) {
    ++mCoverage.mPromotions;
    CheckPrimaries();
  }
  auto report = database.Report();
  report.mRequestedAt = aMessage.mSentAt;
  mMessages.push_back(AnswerMessage{ aMessage.mCoordinator,
                                     { command.mUpstream,
                                       command.mKind,
                                       command.mTerm,
                                       command.mAttempt,
                                       granted,
                                       report } });
}

void
World::Deliver(const AnswerMessage& aMessage)
{
  Feed(aMessage.mCoordinator, aMessage.mAnswer);
}

void
World::Deliver(const ReportMessage& aMessage)
{
  auto& view = mViews[aMessage.mCoordinator];
  const auto it = std::ranges::find(
    view, aMessage.mReport.mUpstream, &UpstreamReport::mUpstream);
  if (it == view.end()) {
    view.push_back(aMessage.mReport);
  } else if (it->mRequestedAt <= aMessage.mReport.mRequestedAt) {
    *it = aMessage.mReport;
  }
  if (IndexOf(aMessage.mReport.mUpstream) != mPartitionedDatabase) {
    Feed(aMessage.mCoordinator, UpstreamReported{ aMessage.mReport });
  }
}

void
World::Feed(size_t aCoordinator, const FailoverEvent& aEvent)
{
  for (const auto& action : mCoordinators[aCoordinator].Handle(aEvent, mNow)) {
    if (const auto* command = std::get_if<SendCommand>(&action)) {
      mMessages.push_back(CommandMessage{ aCoordinator, *command, mNow });
    } else if (std::holds_alternative<RequestPeerViews>(action) && Chance(50)) {
      const auto view =
        mCoordinators[(aCoordinator + 1) % kCoordinators].View(mNow);
      Feed(aCoordinator, PeerViewReceived{ view });
    }
  }
}

/// Replicates one entry along a stream, or truncates a divergent tail of the
/// replica first.
void
World::Replicate()
{
  if (mStreams.empty()) {
    return;
  }
  const auto stream = mStreams[Pick(mStreams.size())];
  if (stream.mFrom == mPartitionedDatabase ||
      stream.mTo == mPartitionedDatabase) {
    return;
  }
  auto& from = mDatabases[stream.mFrom];
  auto& to = mDatabases[stream.mTo];
  if (!from.IsPrimary() || from.Term() != stream.mTerm ||
      to.Follows() != from.Name() || !to.AcceptsReplication(stream.mTerm)) {
    return;
  }
  const auto common = to.CommonPrefixLength(from.Log());
  if (common < to.Log().size()) {
    to.Truncate(common);
  } else if (common < from.Log().size()) {
    to.AppendReplicated(from.Log()[common]);
  }
}

void
World::RestartDatabase()
{
  auto& database = mDatabases[Pick(kDatabases)];
  const auto report = database.Report();
  database.Restore(report.mFencedTerm, report.mAttempt, database.Log());
}

/// Partitions a random database from the other databases and the coordinators,
/// while the instances of callers still reach it; or ends the partition.
void
World::TogglePartition()
{
  mPartitionedDatabase = Pick(kDatabases + 2);
}

std::optional<size_t>
World::PickPrimary()
{
  std::vector<size_t> primaries;
  for (size_t it = 0; it < kDatabases; ++it) {
    if (mDatabases[it].IsPrimary()) {
      primaries.push_back(it);
    }
  }
  if (primaries.empty()) {
    return std::nullopt;
  }
  return primaries[Pick(primaries.size())];
}

World::Ledger
World::LedgerOf(const ReplicaState& aDatabase, size_t aWrite) const
{
  Ledger ledger;
  const auto done = DoneEntry(aWrite);
  const auto tombstone = TombstonePrefix(aWrite);
  for (const auto& entry : aDatabase.Log()) {
    for (const auto& it : entry.mStatements) {
      if (it == done) {
        return { LedgerKind::Done, {} };
      }
      if (it.starts_with(tombstone)) {
        ledger = { LedgerKind::Tombstone, it.substr(tombstone.size()) };
      }
    }
  }
  return ledger;
}

std::set<size_t>
World::WritesIn(const ReplicaState& aDatabase) const
{
  std::set<size_t> writes;
  for (size_t it = 0; it < mWrites.size(); ++it) {
    if (LedgerOf(aDatabase, it).mKind == LedgerKind::Done) {
      writes.insert(it);
    }
  }
  return writes;
}

/// Appends writes of other callers, so that the tail of a replaced primary may
/// be longer than the log of its successor.
void
World::AppendOtherWrites()
{
  if (const auto primary = PickPrimary()) {
    for (auto n = Pick(6); n > 0; --n) {
      mDatabases[*primary].Append({ "other" });
    }
  }
}

void
World::StartWrite()
{
  if (mWrites.size() >= kMaxWrites || !PickPrimary()) {
    return;
  }
  Write write{ WriteMachine(RetryPolicy::AfterResolution, mRules),
               Pick(kCoordinators) };
  mWrites.push_back(std::move(write));
  SendToPrimary(mWrites.size() - 1, std::nullopt);
}

void
World::SendToPrimary(size_t aWrite, std::optional<std::string> aTombstoneNonce)
{
  auto& write = mWrites[aWrite];
  const auto primary = PickPrimary();
  if (!primary) {
    Feed(aWrite, WriteDeadlinePassed{});
    return;
  }
  write.mIsInFlight = true;
  ++write.mAttempt;
  Feed(aWrite, CommitSent{});
  mMessages.push_back(WriteMessage{
    aWrite, *primary, write.mAttempt, std::move(aTombstoneNonce) });
}

void
World::SendResolution(size_t aWrite)
{
  ++mCoverage.mResolutions;
  auto& write = mWrites[aWrite];
  const auto primary = PickPrimary();
  if (!primary) {
    Feed(aWrite, WriteDeadlinePassed{});
    return;
  }
  write.mIsInFlight = true;
  ++write.mAttempt;
  mMessages.push_back(ResolutionMessage{ aWrite, *primary, write.mAttempt });
}

/// The database runs the write even when its answer is not awaited.
void
World::Deliver(const WriteMessage& aMessage)
{
  auto& write = mWrites[aMessage.mWrite];
  auto& database = mDatabases[aMessage.mDatabase];
  const bool isPending =
    write.mIsInFlight && write.mAttempt == aMessage.mAttempt;
  if (!database.IsPrimary()) {
    if (isPending) {
      write.mIsInFlight = false;
      Feed(aMessage.mWrite, WriteRolledBack{});
    }
    return;
  }
  const auto ledger = LedgerOf(database, aMessage.mWrite);
  const bool mayRun = aMessage.mTombstoneNonce
                        ? ledger.mKind == LedgerKind::Tombstone &&
                            ledger.mNonce == *aMessage.mTombstoneNonce
                        : ledger.mKind == LedgerKind::Missing;
  LogPosition position;
  if (mayRun) {
    position = database.Append({ DoneEntry(aMessage.mWrite) });
  }
  if (!isPending) {
    return;
  }
  write.mIsInFlight = false;
  if (Chance(25)) {
    Feed(aMessage.mWrite, WriteConnectionLost{});
  } else if (mayRun) {
    write.mPosition = position;
    Feed(aMessage.mWrite, WriteCommitted{ position });
  } else {
    Feed(aMessage.mWrite, RequestIdTaken{});
  }
}

void
World::Deliver(const ResolutionMessage& aMessage)
{
  auto& write = mWrites[aMessage.mWrite];
  auto& database = mDatabases[aMessage.mDatabase];
  const bool isPending =
    write.mIsInFlight && write.mAttempt == aMessage.mAttempt;
  auto ledger = LedgerOf(database, aMessage.mWrite);
  const auto nonce = std::to_string(aMessage.mAttempt);
  if (database.IsPrimary() && ledger.mKind != LedgerKind::Done &&
      mRules.Has(Rule::Tombstone)) {
    database.Append({ TombstonePrefix(aMessage.mWrite) + nonce });
    ledger = LedgerOf(database, aMessage.mWrite);
  }
  if (!isPending) {
    return;
  }
  write.mIsInFlight = false;
  if (!database.IsPrimary() || Chance(25)) {
    Feed(aMessage.mWrite, ResolutionConnectionLost{});
    return;
  }
  write.mPosition = database.Report().mLast;
  Feed(aMessage.mWrite,
       ResolutionRead{
         ledger.mKind == LedgerKind::Done, ledger.mNonce, write.mPosition });
}

void
World::Feed(size_t aWrite, const WriteEvent& aEvent)
{
  if (mWrites[aWrite].mOutcome) {
    return;
  }
  const auto action = mWrites[aWrite].mMachine.Handle(aEvent);
  if (!action) {
    return;
  }
  std::visit(
    Overloaded{ [&](const papayaline::StartWrite& aIt) {
                 if (mRules.Has(Rule::Tombstone) || !aIt.mTombstoneNonce) {
                   SendToPrimary(aWrite, aIt.mTombstoneNonce);
                 } else {
                   Finish(aWrite, WriteOutcome::NotRun);
                 }
               },
                [&](const StartResolution&) { SendResolution(aWrite); },
                [&](const FinishWrite& aIt) { Finish(aWrite, aIt.mOutcome); } },
    *action);
}

void
World::Finish(size_t aWrite, WriteOutcome aOutcome)
{
  mWrites[aWrite].mOutcome = aOutcome;
  if (aOutcome == WriteOutcome::NotRun) {
    ++mCoverage.mNotRun;
  }
  if (aOutcome == WriteOutcome::Done || aOutcome == WriteOutcome::DoneEarlier) {
    ++mCoverage.mAcknowledged;
    mAcknowledged.insert(aWrite);
    CheckPrimaries();
  }
}

/// Advances a random write: evidence arrives, the connection breaks, or the
/// deadline passes.
void
World::ProgressWrite()
{
  if (mWrites.empty()) {
    return;
  }
  const auto at = Pick(mWrites.size());
  auto& write = mWrites[at];
  if (write.mOutcome) {
    return;
  }
  if (Chance(3)) {
    write.mIsInFlight = false;
    Feed(at, WriteDeadlinePassed{});
  } else if (write.mIsInFlight) {
    if (Chance(20)) {
      write.mIsInFlight = false;
      Feed(at, WriteConnectionLost{});
    }
  } else {
    Feed(at, EvidenceChanged{ mViews[write.mInstance], kDatabases });
  }
}

void
World::StartRead()
{
  if (mReads.size() >= kMaxReads) {
    return;
  }
  // The clock must advance: with equal times, a report that was requested
  // before the read can't be told from one that was requested after it.
  mNow += 1ms;
  Read read;
  read.mInstance = Pick(kCoordinators);
  read.mRequirements.mArrivedAt = mNow;
  read.mRequired = mAcknowledged;
  if (!mAcknowledged.empty() && Chance(40)) {
    const auto write = *std::next(
      mAcknowledged.begin(), static_cast<long>(Pick(mAcknowledged.size())));
    read.mRequirements.mToken = mWrites[write].mPosition;
    read.mRequired = { write };
  }
  mReads.push_back(read);
}

void
World::ProgressRead()
{
  if (mReads.empty()) {
    return;
  }
  const auto at = Pick(mReads.size());
  auto& read = mReads[at];
  if (read.mIsDone || read.mIsInFlight) {
    return;
  }
  if (read.mSeenAtPrimary) {
    ReturnPrimaryRead(read);
    return;
  }
  const auto& view = mViews[read.mInstance];
  std::vector<ReadCandidate> candidates;
  FrontierHistory frontiers;
  for (const auto& it : view) {
    ReadCandidate candidate;
    candidate.mReport = it;
    candidate.mIsUsable = Chance(80);
    candidates.push_back(candidate);
    const auto frontier =
      ConfirmFrontier(view, kDatabases, it.mRequestedAt, mRules);
    if (frontier) {
      frontiers.Record(*frontier);
    }
  }
  ReadSettings settings;
  settings.mRules = mRules;
  const auto choice =
    ChooseRead(read.mRequirements, candidates, frontiers, settings, mNow);
  if (choice.mVerdict == ReadVerdict::Wait) {
    return;
  }
  read.mIsInFlight = true;
  mMessages.push_back(
    ReadMessage{ at, candidates[choice.mIndex].mReport, choice.mVerdict });
}

void
World::Deliver(const ReadMessage& aMessage)
{
  auto& read = mReads[aMessage.mRead];
  const auto& database = mDatabases[IndexOf(aMessage.mChosen.mUpstream)];
  read.mIsInFlight = false;
  read.mReturned = WritesIn(database);
  if (aMessage.mVerdict == ReadVerdict::UseReplica) {
    if (MayReturnReplicaRead(aMessage.mChosen, database.Report(), mRules)) {
      ++mCoverage.mReplicaReads;
      FinishRead(read);
    }
  } else if (database.IsPrimary()) {
    read.mSeenAtPrimary = database.Report().mLast;
  }
}

void
World::ReturnPrimaryRead(Read& aRead)
{
  if (MayReturnPrimaryRead(mViews[aRead.mInstance],
                           kDatabases,
                           *aRead.mSeenAtPrimary,
                           aRead.mRequirements.mArrivedAt,
                           mRules)) {
    ++mCoverage.mPrimaryReads;
    FinishRead(aRead);
  }
}

void
World::FinishRead(Read& aRead)
{
  aRead.mIsDone = true;
  if (!std::ranges::includes(aRead.mReturned, aRead.mRequired)) {
    RecordViolation(kReadMissesWrite);
  }
  mReturned.insert(aRead.mReturned.begin(), aRead.mReturned.end());
}

/// A primary must hold all writes that were acknowledged in its own term or an
/// earlier one. A partitioned primary of an older term need not hold writes of
/// later terms.
void
World::CheckPrimaries()
{
  for (const auto& it : mDatabases) {
    if (!it.IsPrimary()) {
      continue;
    }
    const auto present = WritesIn(it);
    const bool isMissing =
      std::ranges::any_of(mAcknowledged, [&](size_t aWrite) {
        return mWrites[aWrite].mPosition.mTerm <= it.Term() &&
               !present.contains(aWrite);
      });
    if (isMissing) {
      RecordViolation("an acknowledged write is not in a later primary");
    }
  }
}

/// Fences a random majority for a new term and selects its most advanced
/// database, as any later failover may, then checks the log of that database.
void
World::Heal()
{
  while (!mMessages.empty()) {
    const auto message = mMessages.back();
    mMessages.pop_back();
    if (std::holds_alternative<WriteMessage>(message)) {
      Deliver(std::get<WriteMessage>(message));
    }
  }
  uint64_t term = 0;
  for (const auto& it : mDatabases) {
    term = std::max(term, it.Term());
  }
  const auto absent = Pick(kDatabases);
  ReplicaState* best = nullptr;
  for (size_t it = 0; it < kDatabases; ++it) {
    auto& database = mDatabases[it];
    if (it == absent) {
      continue;
    }
    database.Fence(term + 1, "heal");
    if (!best || best->Report().mLast < database.Report().mLast) {
      best = &database;
    }
  }
  CheckFinalLog(*best);
}

void
World::CheckFinalLog(const ReplicaState& aPrimary)
{
  const auto present = WritesIn(aPrimary);
  if (!std::ranges::includes(present, mAcknowledged)) {
    RecordViolation("an acknowledged write was lost");
  }
  if (!std::ranges::includes(present, mReturned)) {
    RecordViolation("a write that a read returned has vanished");
  }
  for (size_t it = 0; it < mWrites.size(); ++it) {
    const auto entry = DoneEntry(it);
    const auto n =
      std::ranges::count_if(aPrimary.Log(), [&](const auto& aEntry) {
        return std::ranges::count(aEntry.mStatements, entry) > 0;
      });
    if (n > 1) {
      RecordViolation("a write ran twice");
    }
    if (n > 0 && mWrites[it].mOutcome == WriteOutcome::NotRun) {
      RecordViolation("a write that was refused as not run did run");
    }
  }
}

}
