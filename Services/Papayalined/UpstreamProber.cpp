#include "UpstreamProber.h"

#include "Clock.h"
#include "Metrics.h"

#include <utility>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kFastInterval = 100ms;
constexpr auto kSlowInterval = 400ms;
constexpr auto kDemandInterval = 1ms;
/// A control connection that is silent for this long is made anew.
constexpr auto kSilenceTimeout = 1500ms;
constexpr auto kTick = 20ms;

}

UpstreamProber::UpstreamProber(const GroupConfiguration& aGroup,
                               const UpstreamConfiguration& aUpstream,
                               QObject* aParent,
                               ReportHandler aOnReport,
                               FailureHandler aOnFailure)
  : QObject(aParent)
  , mGroup(aGroup)
  , mUpstream(aUpstream)
  , mOnReport(std::move(aOnReport))
  , mOnFailure(std::move(aOnFailure))
  , mInterval(kSlowInterval)
{
  connect(&mTimer, &QTimer::timeout, this, [this] { OnTimer(); });
  mTimer.start(kTick);
  connect(&mPause, &QTimer::timeout, this, [this] { Next(); });
  mPause.setSingleShot(true);
  mPause.setTimerType(Qt::PreciseTimer);
  Connect();
}

void
UpstreamProber::SetProbeRate(ProbeRate aProbeRate)
{
  mInterval = aProbeRate == ProbeRate::Fast ? kFastInterval : kSlowInterval;
}

void
UpstreamProber::Connect()
{
  mLastHeard = Now();
  mWasReady = false;
  mConnection = std::make_unique<UpstreamConnection>(
    mUpstream.mAddress,
    mGroup,
    nullptr,
    [this] {
      mWasReady = true;
      Next();
    },
    [this] { OnClosed(); });
}

/// A connection that was lost says little: a database also closes all of them
/// when it cuts its log. One that can't be made anew is a failure.
void
UpstreamProber::OnClosed()
{
  mCommands.clear();
  if (mWasReady) {
    mLastHeard -= kFastInterval;
  } else {
    mOnFailure();
  }
}

void
UpstreamProber::OnTimer()
{
  const auto now = Now();
  if (mConnection->GetState() == UpstreamConnection::State::Closed) {
    if (now - mLastHeard >= kFastInterval) {
      Connect();
    }
    return;
  }
  const bool isBusy =
    mConnection->GetState() == UpstreamConnection::State::Busy;
  if (isBusy && now - mLastHeard >= kSilenceTimeout) {
    mConnection->Close();
    return;
  }
  if (now - mLastAsked >= mInterval) {
    Next();
  }
}

void
UpstreamProber::RequestReport()
{
  mIsDemanded = true;
  if (!mIsReporting) {
    Next();
  }
}

void
UpstreamProber::Send(const SendCommand& aCommand,
                     const Address& aTarget,
                     CommandHandler aHandler)
{
  std::erase_if(mCommands,
                [&](const auto& it) { return it.mCommand == aCommand; });
  mCommands.push_back({ aCommand, aTarget, std::move(aHandler) });
  Next();
}

void
UpstreamProber::Next()
{
  if (mConnection->GetState() != UpstreamConnection::State::Ready) {
    return;
  }
  const auto sinceAsked = Now() - mLastAsked;
  if (!mCommands.empty()) {
    RunCommand();
  } else if (sinceAsked >= (mIsDemanded ? kDemandInterval : mInterval)) {
    RequestStatus();
  } else if (mIsDemanded && !mPause.isActive()) {
    mPause.start(kDemandInterval);
  }
}

void
UpstreamProber::RequestStatus()
{
  const auto askedAt = Now();
  mLastAsked = askedAt;
  mIsDemanded = false;
  if (askedAt - mLastHeard > kSilenceTimeout / 2) {
    // The time spent idle is no silence of the database.
    mLastHeard = askedAt;
  }
  Metrics::Instance().Add(Counter::StatusRequests);
  mConnection->Run(
    { UpstreamDialect::Default().Status() },
    [this, askedAt](const BatchResult& aBatch) { OnStatus(aBatch, askedAt); });
}

void
UpstreamProber::OnStatus(const BatchResult& aBatch, Instant aRequestedAt)
{
  if (aBatch.mIsLost) {
    return;
  }
  const auto report = UpstreamDialect::Default().ParseReport(
    mUpstream.mName, aBatch.mResults.front(), aRequestedAt);
  if (report.IsError()) {
    mConnection->Close();
    return;
  }
  mLastHeard = Now();
  mIsReporting = true;
  mOnReport(report.Value());
  mIsReporting = false;
  Next();
}

void
UpstreamProber::RunCommand()
{
  auto pending = std::move(mCommands.front());
  mCommands.pop_front();
  const auto askedAt = Now();
  if (askedAt - mLastHeard > kSilenceTimeout / 2) {
    mLastHeard = askedAt;
  }
  const auto statement =
    UpstreamDialect::Default().Command(pending.mCommand, pending.mTarget);
  mConnection->Run({ statement }, [=, this](const BatchResult& aBatch) {
    if (aBatch.mIsLost) {
      return;
    }
    mLastHeard = Now();
    const auto& result = aBatch.mResults.front();
    const auto report =
      UpstreamDialect::Default().ParseReport(mUpstream.mName, result, askedAt);
    if (!report.IsError()) {
      mOnReport(report.Value());
      pending.mHandler({ mUpstream.mName,
                         pending.mCommand.mKind,
                         pending.mCommand.mTerm,
                         pending.mCommand.mAttempt,
                         UpstreamDialect::IsGranted(result),
                         report.Value() });
    }
    Next();
  });
}

}
