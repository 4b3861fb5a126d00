#include "Cases.h"

#include "Instances.h"

#include <QJsonArray>
#include <QTimer>
#include <algorithm>
#include <csignal>

namespace review {

namespace {

/// Everything that a case needs.
struct World
{
  World(const QString& aRecordPath, DatabaseSettings aSettings)
    : mRecord(aRecordPath)
    , mPlatform(mNetwork, mRecord)
    , mDatabases(mNetwork, mPlatform, mRecord, aSettings)
    , mInstances(mDatabases, mPlatform, mRecord)
  {
  }

  /// Writes a configuration with three routes a service: SERVICE-latest,
  /// SERVICE-own and SERVICE-aged, with the figures of the small sites.
  void Configure(const std::vector<std::string>& aServices)
  {
    QJsonArray routes;
    QJsonArray services;
    const auto& settings = mDatabases.mSettings;
    for (const auto& it : aServices) {
      const auto service = QString::fromStdString(it);
      const auto add = [&](const QString& aName,
                           const QString& aKind,
                           int aTimeoutMs,
                           int aMaxAgeMs) {
        QJsonObject route{ { "name", "r-" + service + aName },
                           { "database", service + "-" + aName },
                           { "routeKind", aKind },
                           { "timeoutMs", aTimeoutMs },
                           { "targetLatencyMs", 200 },
                           { "priority", 1 },
                           { "backend", service },
                           { "maxAttempts", 2 } };
        if (aMaxAgeMs > 0) {
          route["maxStalenessMs"] = aMaxAgeMs;
        }
        routes.append(route);
      };
      add("latest", "primary", 800, 0);
      add("own", "read_your_writes", 800, 2500);
      add("aged", "bounded_staleness", 1200, 1500);
      services.append(QJsonObject{
        { "name", service },
        { "healthPath", "/health" },
        { "maxConns", settings.mMaxConnections },
        { "syncReplicas", static_cast<int>(settings.mSyncReplicas) } });
    }
    mPlatform.Put("config",
                  "main",
                  { { "configVersion", 7 },
                    { "routes", routes },
                    { "backends", services },
                    { "limits", QJsonObject{ { "txIdleMs", 3000 } } } });
  }

  /// Adds a service of three databases, one a zone; the first leads.
  void AddService(const std::string& aService)
  {
    mDatabases.Add(aService, aService + "-a", "zone-a", true);
    mDatabases.Add(aService, aService + "-b", "zone-b", false);
    mDatabases.Add(aService, aService + "-c", "zone-c", false);
  }

  Network mNetwork;
  Record mRecord;
  Platform mPlatform;
  Databases mDatabases;
  Instances mInstances;
};

/// A client that sends one query after the other and tells of each answer. It
/// pauses after each answer.
class Traffic : public QObject
{
public:
  using Query = std::function<QByteArray(size_t)>;
  using OnAnswer = std::function<void(const Client::Answer&)>;

  Traffic(World& aWorld,
          const std::string& aName,
          const std::string& aInstance,
          const QByteArray& aDatabase,
          int aPauseMs,
          Query aQuery,
          OnAnswer aOnAnswer)
    : mClient(aWorld.mRecord, aName)
    , mInstance(aInstance)
    , mDatabase(aDatabase)
    , mPauseMs(aPauseMs)
    , mQuery(std::move(aQuery))
    , mOnAnswer(std::move(aOnAnswer))
    , mWorld(aWorld)
  {
    mClient.Open(mWorld.mInstances.CallerPort(mInstance), mDatabase);
    mNextAt = NowMs();
    connect(&mTimer, &QTimer::timeout, this, [this] { Tick(); });
    mTimer.start(2);
  }

  /// Lets the client read at once after a write.
  void ReadAtOnce() { mReadsAtOnce = true; }

private:
  void Tick()
  {
    if (mIsWaiting) {
      if (const auto answer = mClient.TakeAnswer()) {
        mIsWaiting = false;
        const bool isRead = answer->mText.startsWith("READ");
        mNextAt = NowMs() + (isRead || !mReadsAtOnce ? mPauseMs : 0);
        mOnAnswer(*answer);
      }
      return;
    }
    if (NowMs() < mNextAt || !mClient.IsOpen()) {
      return;
    }
    mIsWaiting = true;
    mClient.Send(mQuery(++mCount));
  }

  Client mClient;
  std::string mInstance;
  QByteArray mDatabase;
  int mPauseMs;
  Query mQuery;
  OnAnswer mOnAnswer;
  World& mWorld;
  QTimer mTimer;
  double mNextAt = 0;
  size_t mCount = 0;
  bool mIsWaiting = false;
  bool mReadsAtOnce = false;
};

/// STALE for the reads of one session on a read_your_writes route: each must
/// run on a log that holds the commits that were acknowledged to the session
/// before, unless a promotion has rolled them back.
class OwnWrites
{
public:
  explicit OwnWrites(World& aWorld)
    : mWorld(aWorld)
  {
  }

  void OnAcknowledged(const Client::Answer& aWrite)
  {
    mWrites.push_back({ aWrite.mId, aWrite.mAt });
  }

  /// Returns whether the rule holds for a read that was answered with success.
  bool Check(const Client::Answer& aRead)
  {
    const auto& runs = mWorld.mDatabases.mRuns;
    const auto run = std::find_if(runs.rbegin(), runs.rend(), [&](auto& it) {
      return it.mId == aRead.mId;
    });
    if (run == runs.rend()) {
      return true;
    }
    for (const auto& [id, at] : mWrites) {
      if (at < aRead.mSentAt && !IsRolledBack(id) &&
          std::ranges::find(run->mLog, id) == run->mLog.end()) {
        mWorld.mRecord.Write(
          "check: STALE: " + QString::fromStdString(aRead.mId) + " ran at " +
          QString::fromStdString(run->mDatabase) + " on a log without " +
          QString::fromStdString(id) + ", acknowledged to the session " +
          QString::number(aRead.mSentAt - at, 'f', 1) + " ms before");
        return false;
      }
    }
    return true;
  }

private:
  bool IsRolledBack(const std::string& aId) const
  {
    const auto& runs = mWorld.mDatabases.mRuns;
    const auto run = std::ranges::find_if(
      runs, [&](const auto& it) { return it.mId == aId && it.mIsCommit; });
    return std::ranges::any_of(
      mWorld.mDatabases.mPromotions, [&](const auto& it) {
        return run != runs.end() && it.mAt > run->mAt && !it.mLog.contains(aId);
      });
  }

  World& mWorld;
  std::vector<std::pair<std::string, double>> mWrites;
};

Result
ToResult(World& aWorld, bool aHolds, const char* aRule)
{
  aWorld.mRecord.Write(
    QString("check: %1 %2").arg(aRule, aHolds ? "holds" : "is broken"));
  return aHolds ? Result::Held : Result::Broken;
}

/// The network between the zones of the databases is split, with the primary
/// and one instance on one side. A session at that instance writes and reads.
Result
RunSplit(const QString& aRecordPath, bool aHasTrouble)
{
  World world(aRecordPath, {});
  world.AddService("g1");
  world.Configure({ "g1" });
  world.mInstances.Start("edge-a", "zone-a");
  world.mInstances.Start("edge-b", "zone-b");
  world.mInstances.Start("edge-c", "zone-c");
  if (!world.mInstances.AwaitReady(15'000)) {
    return Result::NotRun;
  }
  Pause(4000);
  Client session(world.mRecord, "s");
  if (!session.Open(world.mInstances.CallerPort("edge-a"), "g1-own")) {
    return Result::NotRun;
  }
  OwnWrites own(world);
  bool holds = true;
  size_t written = 0;
  const auto round = [&] {
    const auto value = QByteArray::number(NowMs(), 'f', 0);
    const auto write = session.Query("WRITE k1 " + value);
    if (write.mIsSuccess) {
      ++written;
      own.OnAcknowledged(write);
    }
    const auto read = session.Query("READ k1");
    if (read.mIsSuccess) {
      holds = own.Check(read) && holds;
    }
    if (!session.IsOpen()) {
      session.Open(world.mInstances.CallerPort("edge-a"), "g1-own");
    }
  };
  const auto run = [&](double aMs) {
    const auto end = NowMs() + aMs;
    while (NowMs() < end) {
      round();
      Pause(20);
    }
  };
  run(3000);
  if (written == 0) {
    return Result::NotRun;
  }
  if (aHasTrouble) {
    world.mRecord.Write("network: split");
    for (const auto* it : { "g1-b", "g1-c" }) {
      world.mNetwork.Cut("g1-a", it);
      world.mNetwork.Cut("edge-a", it);
    }
    world.mNetwork.Cut("g1-a", "edge-b");
    world.mNetwork.Cut("g1-a", "edge-c");
  }
  run(6000);
  world.mRecord.Write("network: healed");
  world.mNetwork.Heal();
  run(3000);
  return ToResult(world, holds, "STALE");
}

/// A primary leaves while a replica receives nothing; commits are acknowledged
/// once a replica has received them.
Result
RunHandOver(const QString& aRecordPath, bool aHasTrouble)
{
  DatabaseSettings settings;
  settings.mSyncReplicas = 1;
  World world(aRecordPath, settings);
  world.AddService("g1");
  world.Configure({ "g1" });
  const std::vector<std::string> readers{ "edge-a-1", "edge-a-2", "edge-a-3",
                                          "edge-b-1", "edge-b-2", "edge-b-3",
                                          "edge-b-4" };
  for (const auto& it : readers) {
    world.mInstances.Start(it, "zone-" + it.substr(5, 1));
  }
  world.mInstances.Start("edge-c-1", "zone-c");
  world.mInstances.Start("edge-c-2", "zone-c");
  if (!world.mInstances.AwaitReady(15'000)) {
    return Result::NotRun;
  }
  Pause(4000);
  std::vector<std::pair<std::string, double>> acknowledged;
  std::vector<std::unique_ptr<Traffic>> traffic;
  for (const auto& it : readers) {
    traffic.push_back(std::make_unique<Traffic>(
      world,
      "reader-" + it,
      it,
      "g1-aged",
      50,
      [](size_t) { return QByteArray("READ k1"); },
      [](const auto&) {}));
  }
  traffic.push_back(std::make_unique<Traffic>(
    world,
    "writer",
    "edge-c-1",
    "g1-latest",
    40,
    [](size_t n) { return "WRITE k1 v" + QByteArray::number(n); },
    [&](const Client::Answer& aAnswer) {
      if (aAnswer.mIsSuccess) {
        acknowledged.emplace_back(aAnswer.mId, aAnswer.mAt);
      }
    }));
  Pause(4000);
  if (acknowledged.empty()) {
    return Result::NotRun;
  }
  auto& deaf = world.mDatabases.At("g1-b");
  if (aHasTrouble) {
    world.mRecord.Write("database: g1-b receives nothing from now on");
    deaf.mIsDeaf = true;
  }
  Pause(150);
  world.mDatabases.Leave("g1-a");
  Await([&] { return !world.mDatabases.mPromotions.empty(); }, 6000);
  Pause(1000);
  deaf.mIsDeaf = false;
  Pause(2000);
  if (world.mDatabases.mPromotions.empty()) {
    return Result::NotRun;
  }
  bool holds = true;
  for (const auto& promotion : world.mDatabases.mPromotions) {
    for (const auto& [id, at] : acknowledged) {
      if (at < promotion.mAt && !promotion.mLog.contains(id)) {
        holds = false;
        world.mRecord.Write("check: LOST: " + QString::fromStdString(id) +
                            " was acknowledged and isn't in the log of " +
                            QString::fromStdString(promotion.mDatabase));
      }
    }
  }
  return ToResult(world, holds, "LOST");
}

/// A primary is replaced as planned in a deployment with more instances than a
/// database takes connections. Sessions write and read their writes.
Result
RunHomes(const QString& aRecordPath, bool aHasTrouble)
{
  DatabaseSettings settings;
  settings.mMaxConnections = 16;
  settings.mLagMs = 20;
  World world(aRecordPath, settings);
  world.AddService("g1");
  world.Configure({ "g1" });
  std::vector<std::string> instances;
  for (const auto* zone : { "a", "b", "c" }) {
    for (int n = 1; n <= 6; ++n) {
      instances.push_back(std::string("edge-") + zone + "-" +
                          std::to_string(n));
      world.mInstances.Start(instances.back(), std::string("zone-") + zone);
    }
  }
  if (!world.mInstances.AwaitReady(20'000)) {
    return Result::NotRun;
  }
  Pause(6000);
  bool holds = true;
  std::vector<std::unique_ptr<OwnWrites>> checks;
  std::vector<std::unique_ptr<Traffic>> traffic;
  size_t written = 0;
  for (size_t n = 0; n < 2 * instances.size(); ++n) {
    const auto& instance = instances[n / 2];
    const auto name = instance + "-" + std::to_string(n % 2);
    checks.push_back(std::make_unique<OwnWrites>(world));
    traffic.push_back(std::make_unique<Traffic>(
      world,
      name,
      instance,
      "g1-own",
      40,
      [key = QByteArray::fromStdString(name)](size_t aCount) {
        return aCount % 2 == 1
                 ? "WRITE " + key + " v" + QByteArray::number(aCount)
                 : "READ " + key;
      },
      [&, own = checks.back().get()](const Client::Answer& aAnswer) {
        if (!aAnswer.mIsSuccess) {
          return;
        }
        if (aAnswer.mText.startsWith("WRITE")) {
          ++written;
          own->OnAcknowledged(aAnswer);
        } else {
          holds = own->Check(aAnswer) && holds;
        }
      }));
    traffic.back()->ReadAtOnce();
  }
  Pause(4000);
  if (written == 0) {
    return Result::NotRun;
  }
  if (aHasTrouble) {
    world.mDatabases.Leave("g1-a");
  }
  Pause(6000);
  return ToResult(world, holds, "STALE");
}

/// All replicas of a service fall behind, while a session sets values at
/// databases that answer this without a position.
Result
RunTerse(const QString& aRecordPath, bool aHasTrouble)
{
  constexpr double kMaxAgeMs = 1500;
  DatabaseSettings settings;
  settings.mIsTerse = true;
  World world(aRecordPath, settings);
  world.AddService("g1");
  world.Configure({ "g1" });
  world.mInstances.Start("edge-a", "zone-a");
  world.mInstances.Start("edge-c", "zone-c");
  if (!world.mInstances.AwaitReady(15'000)) {
    return Result::NotRun;
  }
  Pause(3000);
  std::vector<std::pair<std::string, double>> writes;
  std::vector<Client::Answer> reads;
  const auto onWrite = [&](const Client::Answer& aAnswer) {
    if (aAnswer.mIsSuccess && aAnswer.mText.startsWith("WRITE")) {
      writes.emplace_back(aAnswer.mId, aAnswer.mAt);
    }
  };
  std::vector<std::unique_ptr<Traffic>> traffic;
  traffic.push_back(std::make_unique<Traffic>(
    world,
    "writer",
    "edge-a",
    "g1-aged",
    15,
    [](size_t n) { return "WRITE k1 v" + QByteArray::number(n); },
    onWrite));
  traffic.push_back(std::make_unique<Traffic>(
    world,
    "setter",
    "edge-c",
    "g1-aged",
    315,
    [](size_t n) {
      return n % 2 == 1 ? "SET tone t" + QByteArray::number(n)
                        : "WRITE k2 v" + QByteArray::number(n);
    },
    onWrite));
  for (int n = 1; n <= 4; ++n) {
    traffic.push_back(std::make_unique<Traffic>(
      world,
      "reader-" + std::to_string(n),
      "edge-c",
      "g1-aged",
      4,
      [](size_t) { return QByteArray("READ k1"); },
      [&](const Client::Answer& aAnswer) {
        if (aAnswer.mIsSuccess) {
          reads.push_back(aAnswer);
        }
      }));
  }
  Pause(4000);
  if (writes.empty() || reads.empty()) {
    return Result::NotRun;
  }
  const auto setLag = [&](double aLagMs) {
    world.mRecord.Write(
      QString("database: replicas apply %1 ms late").arg(aLagMs));
    for (const auto& it : world.mDatabases.mDatabases) {
      it->mLagMs = aLagMs;
    }
  };
  if (aHasTrouble) {
    setLag(settings.mLagMs * 28);
  }
  Pause(7000);
  setLag(settings.mLagMs);
  Pause(2000);
  std::map<std::string, const Run*> runs;
  for (const auto& it : world.mDatabases.mRuns) {
    runs[it.mId] = &it;
  }
  size_t stale = 0;
  for (const auto& read : reads) {
    const auto run = runs.find(read.mId);
    if (run == runs.end()) {
      continue;
    }
    const std::set<std::string> log(run->second->mLog.begin(),
                                    run->second->mLog.end());
    const auto missing = std::ranges::find_if(writes, [&](const auto& it) {
      return it.second + kMaxAgeMs < read.mSentAt && !log.contains(it.first);
    });
    if (missing == writes.end()) {
      continue;
    }
    ++stale;
    world.mRecord.Write(
      QString("check: STALE: %1 ran at %2 on a log without %3, acknowledged "
              "%4 ms before")
        .arg(QString::fromStdString(read.mId),
             QString::fromStdString(run->second->mDatabase),
             QString::fromStdString(missing->first))
        .arg(read.mSentAt - missing->second, 0, 'f', 1));
  }
  return ToResult(world, stale == 0, "STALE");
}

}

Result
RunCase(const QString& aName, const QString& aRecordPath, bool aHasTrouble)
{
  using Case = Result (*)(const QString&, bool);
  const std::map<QString, Case> cases{ { "split", RunSplit },
                                       { "hand-over", RunHandOver },
                                       { "homes", RunHomes },
                                       { "terse", RunTerse } };
  const auto it = cases.find(aName);
  return it != cases.end() ? it->second(aRecordPath, aHasTrouble)
                           : Result::NotRun;
}

}
