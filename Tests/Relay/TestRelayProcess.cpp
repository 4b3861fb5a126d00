#include "ChildProcess.h"
#include "FreePort.h"
#include "Line/LineDatabases.h"
#include "Line/LineStore.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QFile>
#include <QHostAddress>
#include <QJsonArray>
#include <QTemporaryDir>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <sys/resource.h>

using namespace papayaline;

/// Runs papayalined as a process against a store and databases that live in the
/// test.
class TestRelayProcess : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestRelayProcess);
  CPPUNIT_TEST(WriteIsReadBackThroughTheInstance);
  CPPUNIT_TEST(DatabaseUnknownIsRefused);
  CPPUNIT_TEST(InputMalformedIsAnsweredAndOthersGoOn);
  CPPUNIT_TEST(ConfigurationChangedIsInForce);
  CPPUNIT_TEST(StoreSilentInstanceStaysReadyAndServes);
  CPPUNIT_TEST(WatchGoneSilentIsNoticedInTime);
  CPPUNIT_TEST(StoreBackChangeOfTheOutageIsInForce);
  CPPUNIT_TEST(PrimaryKilledIsReplaced);
  CPPUNIT_TEST(StoreRestoredItsChangesAreFollowed);
  CPPUNIT_TEST(StoreRestoredFencingTokensGrow);
  CPPUNIT_TEST(EntriesUnreadableTheOthersStayInUse);
  CPPUNIT_TEST(MetricsHoldCountsAndLatencies);
  CPPUNIT_TEST(KeysDecideWhoIsServedAndAreWrittenNowhere);
  CPPUNIT_TEST(StoreSilentAuthorityExpiresAndIsBackWithTheStore);
  CPPUNIT_TEST(DescriptorsUsedUpByCallersInstanceGoesOn);
  CPPUNIT_TEST(TerminatedFinishesTheTransactionAndExits);
  CPPUNIT_TEST(TerminatedUnderLoadAllStatementsAreAnswered);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kTimeoutMs = 15'000;

  QTemporaryDir mTempDirectory;
  std::unique_ptr<LineDatabases> mDatabases;
  std::unique_ptr<LineStore> mStore;
  std::unique_ptr<ChildProcess> mInstance;
  quint16 mCallerPort = 0;
  quint16 mReadyPort = 0;
  quint16 mMetricsPort = 0;
  int mConfigurationVersion = 0;
  /// A line of the settings' relay section, or nothing.
  QByteArray mFurtherSetting;

  template<typename Condition>
  static bool Await(Condition aCondition)
  {
    QElapsedTimer timer;
    timer.start();
    while (!aCondition()) {
      if (timer.elapsed() > kTimeoutMs) {
        return false;
      }
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
    }
    return true;
  }

  /// A caller's session. Answers are read up to their READY line.
  class Session
  {
  public:
    Session(quint16 aPort,
            const QByteArray& aDatabase,
            const QByteArray& aKey = "till-1")
    {
      mSocket.connectToHost(QHostAddress::LocalHost, aPort);
      Await([&] { return mSocket.state() == QTcpSocket::ConnectedState; });
      mSocket.write("STARTUP " + aDatabase + " " + aKey + "\r\n");
      mWelcome = ReadAnswer();
    }

    QByteArray Query(const QByteArray& aText)
    {
      mSocket.write("QUERY r" + QByteArray::number(++mRequests) + " " + aText +
                    "\r\n");
      return ReadAnswer();
    }

    QByteArray ReadAnswer()
    {
      QByteArray bytes;
      Await([&] {
        bytes += mSocket.readAll();
        return (bytes.contains("READY ") && bytes.endsWith("\r\n")) ||
               mSocket.state() == QTcpSocket::UnconnectedState;
      });
      return bytes;
    }

    QByteArray mWelcome;
    QTcpSocket mSocket;

  private:
    int mRequests = 0;
  };

  void Configure(const QStringList& aDatabases,
                 int aTimeoutMs = 1000,
                 const std::optional<QJsonArray>& aAccounts = std::nullopt)
  {
    QJsonArray routes;
    for (const auto& it : aDatabases) {
      routes.append(QJsonObject{ { "database", it },
                                 { "routeKind", "primary" },
                                 { "timeoutMs", aTimeoutMs },
                                 { "targetLatencyMs", 200 },
                                 { "priority", 1 },
                                 { "backend", "group-1" } });
    }
    QJsonObject document{ { "configVersion", ++mConfigurationVersion },
                          { "routes", routes },
                          { "backends",
                            QJsonArray{ QJsonObject{ { "name", "group-1" },
                                                     { "maxConns", 20 } } } },
                          { "limits", QJsonObject{ { "txIdleMs", 3000 } } } };
    if (aAccounts) {
      document["tenants"] = *aAccounts;
    }
    mStore->Put("config", "main", document);
  }

  void ListDatabases()
  {
    for (const auto& it : mDatabases->All()) {
      mStore->Put("servers",
                  QString::fromStdString(it->mName),
                  LineDatabases::DirectoryEntryOf(*it, it->mPort));
    }
    mStore->Put("servers", "noise", { { "backend", 7 } });
  }

  QString WriteSettings()
  {
    const auto local = [](quint16 aPort) {
      return "\"127.0.0.1:" + QByteArray::number(aPort) + "\"\n";
    };
    QFile file(mTempDirectory.filePath("settings.yaml"));
    file.open(QIODevice::WriteOnly);
    file.write("instance: entry-1\nfailure_domain: z\ncaller_address: " +
               local(mCallerPort) + "relay:\n  readiness_address: " +
               local(mReadyPort) + "  readiness_path: /ready\n" +
               "  metrics_address: " + local(mMetricsPort) + "  store: " +
               local(mStore->Port()) + "  promotion: " + local(mStore->Port()) +
               "  grace: 6s\n" + mFurtherSetting);
    return file.fileName();
  }

  /// Starts the instance; a running one is killed first.
  void StartInstance()
  {
    mInstance.reset();
    mInstance = std::make_unique<ChildProcess>(
      "Services/Papayalined/papayalined",
      QStringList{ "--settings=" + WriteSettings() },
      LogFile(),
      LogFile());
  }

  QString LogFile() const { return mTempDirectory.filePath("log"); }

  QByteArray ReadMetrics() const
  {
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, mMetricsPort);
    socket.write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    QByteArray text;
    Await([&] {
      text += socket.readAll();
      return text.contains("class=\"refusal\",le=\"+Inf\"}");
    });
    return text;
  }

  int ReadinessStatus() const
  {
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, mReadyPort);
    if (!socket.waitForConnected(1000)) {
      return 0;
    }
    socket.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return socket.waitForReadyRead(1000)
             ? socket.readAll().split(' ').value(1).toInt()
             : 0;
  }

  bool IsReady() const { return ReadinessStatus() == 200; }

public:
  void setUp() override
  {
    mDatabases = std::make_unique<LineDatabases>();
    mStore = std::make_unique<LineStore>();
    mStore->mOnPromote = [this](const QString& aName) {
      return mDatabases->Promote(aName.toStdString());
    };
    mConfigurationVersion = 0;
    mFurtherSetting.clear();
    Configure({ "bookings" });
    ListDatabases();
    mCallerPort = FreePort();
    mReadyPort = FreePort();
    mMetricsPort = FreePort();
    StartInstance();
    CPPUNIT_ASSERT(Await([this] { return IsReady(); }));
  }

  void tearDown() override
  {
    mInstance.reset();
    mStore.reset();
    mDatabases.reset();
  }

  void WriteIsReadBackThroughTheInstance()
  {
    Session writer(mCallerPort, "bookings");
    CPPUNIT_ASSERT(writer.mWelcome.startsWith("READY I"));
    const auto written = writer.Query("WRITE 7 two vans");
    CPPUNIT_ASSERT(written.contains("COMPLETE signed-by-db-a"));
    Session reader(mCallerPort, "bookings");
    CPPUNIT_ASSERT(reader.Query("READ 7").contains("ROW two vans"));
    CPPUNIT_ASSERT_EQUAL(size_t(1), mDatabases->Primary().mWrites);
  }

  void DatabaseUnknownIsRefused()
  {
    const Session session(mCallerPort, "nothing");
    CPPUNIT_ASSERT(session.mWelcome.startsWith("ERROR NODB"));
  }

  void InputMalformedIsAnsweredAndOthersGoOn()
  {
    Session bad(mCallerPort, "bookings");
    CPPUNIT_ASSERT(bad.Query("DROP everything").contains("ERROR MALFORMED"));
    CPPUNIT_ASSERT(bad.Query("READ 1").contains("COMPLETE signed"));
    Session endless(mCallerPort, "bookings");
    endless.mSocket.write(QByteArray(3'000'000, 'x'));
    CPPUNIT_ASSERT(endless.ReadAnswer().contains("ERROR MALFORMED"));
    Session half(mCallerPort, "bookings");
    half.mSocket.write("QUERY 1 READ");
    Session good(mCallerPort, "bookings");
    CPPUNIT_ASSERT(good.Query("READ 1").contains("COMPLETE signed"));
  }

  void ConfigurationChangedIsInForce()
  {
    Configure({ "bookings", "scores" });
    CPPUNIT_ASSERT(Await([this] {
      return Session(mCallerPort, "scores").mWelcome.startsWith("READY");
    }));
    Configure({ "scores" });
    CPPUNIT_ASSERT(Await([this] {
      return Session(mCallerPort, "bookings").mWelcome.startsWith("ERROR NODB");
    }));
  }

  void StoreSilentInstanceStaysReadyAndServes()
  {
    mStore->SetUnresponsive(true);
    Session session(mCallerPort, "bookings");
    // Longer than the timeout of a watch.
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < 6000) {
      CPPUNIT_ASSERT(session.Query("WRITE 1 x").contains("COMPLETE signed"));
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 200);
    }
    CPPUNIT_ASSERT(IsReady());
  }

  /// The platform counts an instance as stable 4 s after its connections went
  /// silent, and a change must then be in force. Three of them may be spent on
  /// the wait of a watch, which leaves one for its timeout and the retry. Found
  /// by a hunt on the users' bench.
  void WatchGoneSilentIsNoticedInTime()
  {
    CPPUNIT_ASSERT(Await([this] { return mStore->LongestWaitMs() > 1000; }));
    CPPUNIT_ASSERT(mStore->LongestWaitMs() <= 3000);
  }

  void StoreBackChangeOfTheOutageIsInForce()
  {
    mStore->SetUnresponsive(true);
    Configure({ "bookings", "scores" });
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < 6000) {
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 200);
    }
    mStore->SetUnresponsive(false);
    CPPUNIT_ASSERT(Await([this] {
      return Session(mCallerPort, "scores").mWelcome.startsWith("READY");
    }));
  }

  void PrimaryKilledIsReplaced()
  {
    Session session(mCallerPort, "bookings");
    CPPUNIT_ASSERT(session.Query("WRITE 1 before").contains("COMPLETE"));
    mDatabases->Kill("db-a");
    CPPUNIT_ASSERT(Await([&] {
      return session.Query("WRITE 1 after").contains("COMPLETE signed");
    }));
    CPPUNIT_ASSERT(session.Query("READ 1").contains("ROW after"));
    CPPUNIT_ASSERT(!mStore->mFencingTokens.empty() &&
                   mStore->mFencingTokens.front() > 0);
    CPPUNIT_ASSERT(
      mStore->Find("papayaline-duties", "promotion")["holder"].toString() ==
      "entry-1");
  }

  /// Guards against a configuration of the restored store that is not applied
  /// since its revision number is lower than one seen before.
  void StoreRestoredItsChangesAreFollowed()
  {
    const auto copy = mStore->MakeCopy();
    Configure({ "bookings", "lost" });
    CPPUNIT_ASSERT(Await([this] {
      return Session(mCallerPort, "lost").mWelcome.startsWith("READY");
    }));
    mStore->Restore(copy);
    Configure({ "bookings", "kept" });
    // Other changes, so that the instance's watch position exists again.
    for (int n = 0; n < 5; ++n) {
      ListDatabases();
    }
    CPPUNIT_ASSERT(Await([this] {
      return Session(mCallerPort, "kept").mWelcome.startsWith("READY");
    }));
  }

  /// Guards against a promotion with a lower fencing token than one before.
  void StoreRestoredFencingTokensGrow()
  {
    const auto copy = mStore->MakeCopy();
    for (int n = 0; n < 5; ++n) {
      ListDatabases();
    }
    Session session(mCallerPort, "bookings");
    mDatabases->Kill("db-a");
    CPPUNIT_ASSERT(Await(
      [&] { return session.Query("WRITE 1 x").contains("COMPLETE signed"); }));
    mDatabases->Restart("db-a");
    mStore->Restore(copy);
    ListDatabases();
    const auto tokens = mStore->mFencingTokens;
    mDatabases->Kill(mDatabases->Primary().mName);
    CPPUNIT_ASSERT(Await(
      [&] { return session.Query("WRITE 1 y").contains("COMPLETE signed"); }));
    CPPUNIT_ASSERT(mStore->mFencingTokens.size() > tokens.size());
    CPPUNIT_ASSERT(std::ranges::is_sorted(mStore->mFencingTokens));
  }

  /// Guards against an entry of another writer that makes the list of the
  /// databases unreadable, so that no instance finds or follows any of them.
  void EntriesUnreadableTheOthersStayInUse()
  {
    mStore->PutText(
      "servers", "deep", QByteArray(5000, '[') + QByteArray(5000, ']'));
    mStore->PutText("servers", "large", R"({"slots":1e999})");
    mStore->PutText("servers", "bytes", "{\"zone\":\"\xff\"}");
    StartInstance();
    CPPUNIT_ASSERT(Await([this] { return IsReady(); }));
    Session session(mCallerPort, "bookings");
    CPPUNIT_ASSERT(session.Query("WRITE 1 x").contains("COMPLETE signed"));
    mDatabases->Kill("db-a");
    CPPUNIT_ASSERT(Await(
      [&] { return session.Query("WRITE 1 y").contains("COMPLETE signed"); }));
  }

  void MetricsHoldCountsAndLatencies()
  {
    Session session(mCallerPort, "bookings");
    CPPUNIT_ASSERT(session.Query("WRITE 1 x").contains("COMPLETE signed"));
    CPPUNIT_ASSERT(session.Query("READ 1").contains("COMPLETE signed"));
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, mMetricsPort);
    socket.write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    QByteArray text;
    CPPUNIT_ASSERT(Await([&] {
      text += socket.readAll();
      return text.contains("class=\"write\",le=\"+Inf\"} 1\n");
    }));
    CPPUNIT_ASSERT(
      text.contains("papayaline_writes_total{group=\"group-1\"} 1"));
    CPPUNIT_ASSERT(text.contains("class=\"latest_read\",le=\"+Inf\"} 1\n"));
  }

  /// Greps all that the process writes: to databases, to its log and into its
  /// metrics.
  void KeysDecideWhoIsServedAndAreWrittenNowhere()
  {
    const auto accounts = [](const QJsonArray& aKeys) {
      return QJsonArray{
        QJsonObject{ { "name", "meadow" }, { "apiKeys", aKeys } },
        QJsonObject{ { "name", "copy" }, { "apiKeys", aKeys } }
      };
    };
    Configure({ "bookings" }, 1000, accounts({ "secret-1", "secret-2" }));
    CPPUNIT_ASSERT(Await([&] {
      return Session(mCallerPort, "bookings", "secret-3")
        .mWelcome.startsWith("ERROR DENIED ");
    }));
    Session session(mCallerPort, "bookings", "secret-1");
    CPPUNIT_ASSERT(session.Query("WRITE 1 x").contains("COMPLETE signed"));
    CPPUNIT_ASSERT(session.Query("BEGIN").contains("READY T"));
    CPPUNIT_ASSERT(session.Query("WRITE 1 y").contains("COMPLETE signed"));
    Configure({ "bookings" }, 1000, accounts({ "secret-2" }));
    CPPUNIT_ASSERT(Await([&] {
      return Session(mCallerPort, "bookings", "secret-1")
        .mWelcome.startsWith("ERROR DENIED ");
    }));
    CPPUNIT_ASSERT(session.Query("COMMIT").startsWith("ERROR DENIED "));
    Session other(mCallerPort, "bookings", "secret-2");
    CPPUNIT_ASSERT(other.Query("READ 1").contains("ROW x"));
    auto written = ReadMetrics();
    CPPUNIT_ASSERT(
      written.contains("errors_total{error=\"authentication-failed\"}"));
    for (const auto& it : mDatabases->All()) {
      written += it->mReceived.empty()
                   ? QByteArray()
                   : QByteArrayList(it->mReceived.begin(), it->mReceived.end())
                       .join('\n');
    }
    mInstance->Terminate();
    CPPUNIT_ASSERT_EQUAL(0, mInstance->WaitForExit(kTimeoutMs));
    QFile log(LogFile());
    CPPUNIT_ASSERT(log.open(QIODevice::ReadOnly));
    written += log.readAll();
    CPPUNIT_ASSERT(written.contains("session.denied"));
    CPPUNIT_ASSERT(written.contains("configuration.omitted"));
    CPPUNIT_ASSERT(!written.contains("secret"));
  }

  void StoreSilentAuthorityExpiresAndIsBackWithTheStore()
  {
    Configure({ "bookings" },
              1000,
              QJsonArray{ QJsonObject{ { "name", "meadow" },
                                       { "apiKeys", QJsonArray{ "k1" } } } });
    mFurtherSetting = "  authority_timeout: 2s\n";
    StartInstance();
    CPPUNIT_ASSERT(Await([this] { return IsReady(); }));
    Session session(mCallerPort, "bookings", "k1");
    CPPUNIT_ASSERT(session.Query("WRITE 1 x").contains("COMPLETE signed"));
    mStore->SetUnresponsive(true);
    CPPUNIT_ASSERT(Await([this] { return ReadinessStatus() == 503; }));
    CPPUNIT_ASSERT(session.Query("READ 1").startsWith("ERROR BUSY "));
    mStore->SetUnresponsive(false);
    CPPUNIT_ASSERT(Await([this] { return IsReady(); }));
    CPPUNIT_ASSERT(session.Query("READ 1").contains("ROW x"));
  }

  /// Guards against an instance that aborts: callers that come from lost
  /// instances use up its descriptors, and the next call to the store that ends
  /// without an answer needs some.
  void DescriptorsUsedUpByCallersInstanceGoesOn()
  {
    constexpr rlim_t kDescriptors = 96;
    constexpr int kCallers = 150;
    constexpr int kStoreOutageMs = 4000;
    const rlimit limit{ kDescriptors, kDescriptors };
    CPPUNIT_ASSERT_EQUAL(
      0,
      prlimit(
        static_cast<pid_t>(mInstance->Pid()), RLIMIT_NOFILE, &limit, nullptr));
    Session first(mCallerPort, "bookings");
    std::vector<std::unique_ptr<QTcpSocket>> crowd;
    for (int n = 0; n < kCallers; ++n) {
      crowd.push_back(std::make_unique<QTcpSocket>());
      crowd.back()->connectToHost(QHostAddress::LocalHost, mCallerPort);
      crowd.back()->waitForConnected(kTimeoutMs);
      crowd.back()->write("STARTUP bookings till-1\r\n");
    }
    mStore->SetUnresponsive(true);
    QElapsedTimer outage;
    outage.start();
    Await([&] { return outage.elapsed() > kStoreOutageMs; });
    mStore->SetUnresponsive(false);
    CPPUNIT_ASSERT(mInstance->IsRunning());
    CPPUNIT_ASSERT(first.Query("READ 1").contains("COMPLETE signed"));
    crowd.clear();
    Configure({ "bookings", "scores" });
    CPPUNIT_ASSERT(Await([this] {
      return Session(mCallerPort, "scores").mWelcome.startsWith("READY");
    }));
  }

  void TerminatedFinishesTheTransactionAndExits()
  {
    Session session(mCallerPort, "bookings");
    session.Query("BEGIN");
    CPPUNIT_ASSERT(session.Query("WRITE 1 x").contains("COMPLETE signed"));
    mInstance->Terminate();
    CPPUNIT_ASSERT(Await([this] { return ReadinessStatus() == 503; }));
    CPPUNIT_ASSERT(session.Query("COMMIT").contains("COMPLETE signed"));
    CPPUNIT_ASSERT(Await(
      [&] { return session.mSocket.state() == QTcpSocket::UnconnectedState; }));
    CPPUNIT_ASSERT_EQUAL(0, mInstance->WaitForExit(kTimeoutMs));
    CPPUNIT_ASSERT_EQUAL(size_t(1), mDatabases->Primary().mWrites);
  }

  /// Guards against statements that are cut without an answer when the process
  /// exits. Callers go on opening sessions, and the databases are silent at the
  /// end, so that the last statements are in progress then.
  void TerminatedUnderLoadAllStatementsAreAnswered()
  {
    Configure({ "bookings" }, 8000);
    Session resting(mCallerPort, "bookings");
    resting.Query("BEGIN READ");
    CPPUNIT_ASSERT(resting.Query("READ 1").contains("COMPLETE"));
    std::vector<std::unique_ptr<Session>> waiting;
    QElapsedTimer sinceSignal;
    mInstance->Terminate();
    sinceSignal.start();
    size_t answered = 0;
    size_t refused = 0;
    while (mInstance->IsRunning() && sinceSignal.elapsed() < kTimeoutMs) {
      const bool isSilent = sinceSignal.elapsed() > 3500;
      for (const auto& it : mDatabases->All()) {
        it->mIsSilent = isSilent;
      }
      auto session = std::make_unique<Session>(mCallerPort, "bookings");
      if (!session->mWelcome.startsWith("READY")) {
        refused += session->mWelcome.startsWith("ERROR BUSY") ? 1 : 0;
      } else if (isSilent) {
        session->mSocket.write("QUERY late WRITE 1 x\r\n");
        waiting.push_back(std::move(session));
      } else {
        CPPUNIT_ASSERT(session->Query("READ 1").contains("COMPLETE"));
        ++answered;
      }
      QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    }
    CPPUNIT_ASSERT_EQUAL(0, mInstance->WaitForExit(kTimeoutMs));
    CPPUNIT_ASSERT(answered > 0);
    CPPUNIT_ASSERT(!waiting.empty());
    for (const auto& it : waiting) {
      CPPUNIT_ASSERT(it->ReadAnswer().startsWith("ERROR "));
    }
    CPPUNIT_ASSERT(refused > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRelayProcess);
