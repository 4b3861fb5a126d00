#include "Commands.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <cstdio>
#include <tuple>
#include <vector>

namespace papayaline {

namespace {

using Events = std::vector<QJsonObject>;

/// Sorts by hybrid time, which orders an effect after its cause, and breaks
/// ties by the instance name.
auto
SortKey(const QJsonObject& aEvent)
{
  return std::tuple(aEvent["wallUs"].toInteger(),
                    aEvent["logical"].toInteger(),
                    aEvent["instance"].toString());
}

void
PrintText(const Events& aEvents)
{
  qint64 previous = 0;
  for (const auto& it : aEvents) {
    const auto wall = it["wallUs"].toInteger();
    const auto time = QDateTime::fromMSecsSinceEpoch(wall / 1000);
    const double deltaMs =
      previous == 0 ? 0 : static_cast<double>(wall - previous) / 1000;
    previous = wall;
    std::printf("%s %+9.1f ms  %-10s %-13s %-18s %s",
                qPrintable(time.toString("HH:mm:ss.zzz")),
                deltaMs,
                qPrintable(it["instance"].toString()),
                qPrintable(it["part"].toString()),
                qPrintable(it["kind"].toString()),
                qPrintable(it["group"].toString()));
    if (it["term"].toInteger() != 0) {
      std::printf(" term %lld", static_cast<long long>(it["term"].toInteger()));
    }
    std::printf(" %s\n", qPrintable(it["detail"].toString()));
  }
}

/// Converts to the Trace Event format: instant events, one process per
/// instance.
QJsonArray
ToTrace(const Events& aEvents)
{
  QJsonArray trace;
  for (const auto& it : aEvents) {
    trace.append(QJsonObject{
      { "name", it["kind"].toString() + " " + it["detail"].toString() },
      { "cat", it["part"] },
      { "ph", "i" },
      { "s", "p" },
      { "ts", it["wallUs"] },
      { "pid", it["instance"] },
      { "tid", it["group"] },
      { "args", QJsonObject{ { "term", it["term"] } } } });
  }
  return trace;
}

}

ExitCode
RunTimeline(OperatorClient& aClient,
            std::chrono::seconds aSince,
            const std::string& aGroup,
            OutputFormat aFormat)
{
  const auto instances = aClient.ListInstances();
  if (instances.IsError()) {
    return ReportError(instances.GetError());
  }
  const auto since =
    (QDateTime::currentMSecsSinceEpoch() - aSince.count() * 1000) * 1000;
  auto result = ExitCode::Done;
  Events events;
  for (const auto& it : instances.Value()) {
    const auto answer =
      aClient.GetFrom(it, "/v1/events?since=" + QString::number(since));
    if (answer.IsError()) {
      std::fprintf(stderr,
                   "papayaline: %s is unreachable; its events are missing\n",
                   it.mName.c_str());
      result = ExitCode::Unreachable;
      continue;
    }
    for (const auto& event : answer.Value()["events"].toArray()) {
      const auto group = event.toObject()["group"].toString().toStdString();
      if (aGroup.empty() || group == aGroup) {
        events.push_back(event.toObject());
      }
    }
  }
  std::ranges::sort(events, {}, SortKey);
  if (aFormat == OutputFormat::Text) {
    PrintText(events);
    return result;
  }
  QJsonArray json;
  std::ranges::for_each(events, [&](const auto& it) { json.append(it); });
  const auto document = aFormat == OutputFormat::Trace
                          ? QJsonDocument(ToTrace(events))
                          : QJsonDocument(json);
  std::printf("%s\n", document.toJson().constData());
  return result;
}

}
