#include "AdminServer.h"

#include "LibCore/EventRing.h"
#include "Metrics.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrlQuery>
#include <array>

namespace papayaline {

namespace {

using StatusCode = QHttpServerResponse::StatusCode;

constexpr std::array kDrainStateNames = { "serving", "announced", "draining" };
constexpr std::array kRoleNames = { "primary", "replica", "fenced" };

QString
QueryItem(const QHttpServerRequest& aRequest, const QString& aName)
{
  return QUrlQuery(aRequest.url()).queryItemValue(aName, QUrl::FullyDecoded);
}

QJsonObject
ParseBody(const QHttpServerRequest& aRequest)
{
  return QJsonDocument::fromJson(aRequest.body()).object();
}

QJsonObject
ReportToJson(const UpstreamReport& aReport)
{
  return {
    { "name", QString::fromStdString(aReport.mUpstream) },
    { "role", kRoleNames[static_cast<size_t>(aReport.mRole)] },
    { "fencedTerm", static_cast<qint64>(aReport.mFencedTerm) },
    { "lastTerm", static_cast<qint64>(aReport.mLast.mTerm) },
    { "position", static_cast<qint64>(aReport.mLast.mOffset) },
    { "follows", QString::fromStdString(aReport.mFollows) },
  };
}

QByteArray
PlatformMetrics(const PlatformCallCounts& aCounts)
{
  QByteArray text;
  const auto add = [&](const char* aKind, uint64_t aValue) {
    text += QByteArray("papayaline_platform_calls_total{kind=\"") + aKind +
            "\"} " + QByteArray::number(quint64(aValue)) + "\n";
  };
  add("read", aCounts.mReads);
  add("write", aCounts.mWrites);
  add("watch", aCounts.mWatches);
  add("instances", aCounts.mInstanceLists);
  return text;
}

}

AdminServer::AdminServer(ControlState& aControlState,
                         ConfigurationDistributor& aDistributor,
                         FailoverController& aFailover,
                         PlatformClient& aPlatform,
                         std::function<void()> aOnDrain)
  : mControlState(aControlState)
  , mDistributor(aDistributor)
  , mFailover(aFailover)
  , mPlatform(aPlatform)
  , mOnDrain(std::move(aOnDrain))
{
  AddOperatorRoutes();
  AddPeerRoutes();
}

Result<Done>
AdminServer::Listen(const Address& aAddress)
{
  const QHostAddress host(QString::fromStdString(aAddress.mHost));
  if (mServer.listen(host, aAddress.mPort) == 0) {
    return Error{ ErrorKind::Unreachable,
                  "can't listen on " + aAddress.ToString() };
  }
  return Done{};
}

void
AdminServer::AddOperatorRoutes()
{
  mServer.route("/healthz", [] { return QByteArray("ok\n"); });
  mServer.route("/readyz", [this] {
    const bool isReady = mControlState.GetDrainState() == DrainState::Serving &&
                         mControlState.GetConfiguration()->mVersion > 0;
    return QHttpServerResponse("text/plain",
                               isReady ? "ready\n" : "not ready\n",
                               isReady ? StatusCode::Ok
                                       : StatusCode::ServiceUnavailable);
  });
  mServer.route("/metrics", [this] {
    return QHttpServerResponse("text/plain; version=0.0.4",
                               Metrics::Instance().ToText() +
                                 PlatformMetrics(mPlatform.Counts()));
  });
  mServer.route("/v1/status", [this] { return Status(); });
  mServer.route("/v1/events", [](const QHttpServerRequest& aRequest) {
    const auto since = QueryItem(aRequest, "since").toLongLong();
    return QJsonObject{ { "events",
                          EventRing::Instance().EventsSince(since) } };
  });
  mServer.route("/v1/drain",
                QHttpServerRequest::Method::Post,
                [this](const QHttpServerRequest&) {
                  mOnDrain();
                  return QJsonObject{ { "draining", true } };
                });
  mServer.route(
    "/v1/switchover",
    QHttpServerRequest::Method::Post,
    [this](const QHttpServerRequest& aRequest) {
      const auto group = QueryItem(aRequest, "group").toStdString();
      const auto requested = mFailover.RequestSwitchover(group);
      if (requested.IsError()) {
        return QHttpServerResponse(
          QJsonObject{
            { "error",
              QString::fromStdString(requested.GetError().mMessage) } },
          StatusCode::Conflict);
      }
      return QHttpServerResponse(QJsonObject{ { "requested", true } });
    });
}

void
AdminServer::AddPeerRoutes()
{
  mServer.route("/v1/peer/view", [this](const QHttpServerRequest& aRequest) {
    const auto view =
      mFailover.View(QueryItem(aRequest, "group").toStdString());
    return WithHybridTime(
      { { "term", static_cast<qint64>(view.mTerm) },
        { "primary", QString::fromStdString(view.mPrimary) },
        { "healthy", view.mIsHealthy } });
  });
  mServer.route("/v1/peer/state", [this](const QHttpServerRequest& aRequest) {
    return mDistributor.HandleStateRequest(
      QueryItem(aRequest, "version").toLongLong(),
      QueryItem(aRequest, "members"));
  });
  mServer.route("/v1/peer/configuration",
                QHttpServerRequest::Method::Post,
                [this](const QHttpServerRequest& aRequest) {
                  return mDistributor.HandlePushedConfiguration(
                    ParseBody(aRequest));
                });
}

QJsonObject
AdminServer::GroupStatus(const GroupConfiguration& aGroup) const
{
  QJsonArray upstreams;
  for (const auto& it : mControlState.Reports(aGroup.mName)) {
    upstreams.append(ReportToJson(it));
  }
  const auto view = mFailover.View(aGroup.mName);
  QJsonObject status{
    { "name", QString::fromStdString(aGroup.mName) },
    { "primary", QString::fromStdString(view.mPrimary) },
    { "term", static_cast<qint64>(view.mTerm) },
    { "healthy", view.mIsHealthy },
    { "upstreams", upstreams },
  };
  if (const auto index = mFailover.CoordinatorIndex(aGroup.mName)) {
    status["holderIndex"] = static_cast<qint64>(*index);
  }
  return status;
}

QJsonObject
AdminServer::Status() const
{
  const auto& settings = mControlState.GetSettings();
  const auto configuration = mControlState.GetConfiguration();
  QJsonArray groups;
  for (const auto& it : configuration->mGroups) {
    groups.append(GroupStatus(it));
  }
  QJsonArray instances;
  for (const auto& it : mControlState.GetMembership().mInstances) {
    instances.append(QString::fromStdString(it.mName));
  }
  const auto drainState = static_cast<size_t>(mControlState.GetDrainState());
  return {
    { "instance", QString::fromStdString(settings.mInstance) },
    { "failureDomain", QString::fromStdString(settings.mFailureDomain) },
    { "configuration", QString::fromStdString(configuration->mName) },
    { "version", static_cast<qint64>(configuration->mVersion) },
    { "applyId", QString::fromStdString(configuration->mApplyId) },
    { "drain", kDrainStateNames[drainState] },
    { "watcher", mDistributor.IsWatcher() },
    { "instances", instances },
    { "groups", groups },
  };
}

}
