#include "UpstreamProber.h"

#include "Clock.h"
#include "Metrics.h"

#include <utility>

namespace papayaline {

namespace {

using namespace std::chrono_literals;

constexpr auto kFastProbeInterval = 100ms;
constexpr auto kSlowProbeInterval = 400ms;
constexpr auto kMinRequestInterval = 1ms;
/// A control connection with an outstanding request is closed and established
/// again if no answer arrives for this long.
constexpr auto kUnresponsiveTimeout = 1500ms;
constexpr auto kTickInterval = 20ms;

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
  , mProbeInterval(kSlowProbeInterval)
{
  connect(&mTimer, &QTimer::timeout, this, [this] { OnTimer(); });
  mTimer.start(kTickInterval);
  connect(&mRequestTimer, &QTimer::timeout, this, [this] { RunNext(); });
  mRequestTimer.setSingleShot(true);
  mRequestTimer.setTimerType(Qt::PreciseTimer);
  Connect();
}

void
UpstreamProber::SetProbeRate(ProbeRate aProbeRate)
{
  mProbeInterval =
    aProbeRate == ProbeRate::Fast ? kFastProbeInterval : kSlowProbeInterval;
}

void
UpstreamProber::Connect()
{
  mLastActivityAt = Now();
  mHasBeenReady = false;
  mConnection = std::make_unique<UpstreamConnection>(
    mUpstream.mAddress,
    mGroup,
    nullptr,
    [this] {
      mHasBeenReady = true;
      RunNext();
    },
    [this] { OnClosed(); });
}

/// The loss of an established connection is not reported as a failure, because
/// a database also closes all its connections when it truncates its log. A
/// connection that can't be established is reported.
void
UpstreamProber::OnClosed()
{
  mCommands.clear();
  if (mHasBeenReady) {
    mLastActivityAt -= kFastProbeInterval;
  } else {
    mOnFailure();
  }
}

void
UpstreamProber::OnTimer()
{
  const auto now = Now();
  if (mConnection->GetState() == UpstreamConnection::State::Closed) {
    if (now - mLastActivityAt >= kFastProbeInterval) {
      Connect();
    }
    return;
  }
  const bool isBusy =
    mConnection->GetState() == UpstreamConnection::State::Busy;
  if (isBusy && now - mLastActivityAt >= kUnresponsiveTimeout) {
    mConnection->Close();
    return;
  }
  if (now - mLastRequestAt >= mProbeInterval) {
    RunNext();
  }
}

void
UpstreamProber::RequestReport()
{
  mIsReportRequested = true;
  if (!mIsInReportHandler) {
    RunNext();
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
  RunNext();
}

void
UpstreamProber::RunNext()
{
  if (mConnection->GetState() != UpstreamConnection::State::Ready) {
    return;
  }
  const auto sinceLastRequest = Now() - mLastRequestAt;
  if (!mCommands.empty()) {
    RunCommand();
  } else if (sinceLastRequest >=
             (mIsReportRequested ? kMinRequestInterval : mProbeInterval)) {
    RequestStatus();
  } else if (mIsReportRequested && !mRequestTimer.isActive()) {
    mRequestTimer.start(kMinRequestInterval);
  }
}

void
UpstreamProber::RequestStatus()
{
  const auto requestedAt = Now();
  mLastRequestAt = requestedAt;
  mIsReportRequested = false;
  if (requestedAt - mLastActivityAt > kUnresponsiveTimeout / 2) {
    // Time without an outstanding request does not count as unresponsive.
    mLastActivityAt = requestedAt;
  }
  Metrics::Instance().Add(Counter::StatusRequests);
  mConnection->Run({ UpstreamDialect::Default().Status() },
                   [this, requestedAt](const BatchResult& aBatch) {
                     OnStatus(aBatch, requestedAt);
                   });
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
  mLastActivityAt = Now();
  mIsInReportHandler = true;
  mOnReport(report.Value());
  mIsInReportHandler = false;
  RunNext();
}

void
UpstreamProber::RunCommand()
{
  auto pending = std::move(mCommands.front());
  mCommands.pop_front();
  const auto requestedAt = Now();
  if (requestedAt - mLastActivityAt > kUnresponsiveTimeout / 2) {
    mLastActivityAt = requestedAt;
  }
  const auto statement =
    UpstreamDialect::Default().Command(pending.mCommand, pending.mTarget);
  mConnection->Run({ statement }, [=, this](const BatchResult& aBatch) {
    if (aBatch.mIsLost) {
      return;
    }
    mLastActivityAt = Now();
    const auto& result = aBatch.mResults.front();
    const auto report = UpstreamDialect::Default().ParseReport(
      mUpstream.mName, result, requestedAt);
    if (!report.IsError()) {
      mOnReport(report.Value());
      pending.mHandler({ mUpstream.mName,
                         pending.mCommand.mKind,
                         pending.mCommand.mTerm,
                         pending.mCommand.mAttempt,
                         UpstreamDialect::IsGranted(result),
                         report.Value() });
    }
    RunNext();
  });
}

}
