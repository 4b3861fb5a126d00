#include "Cluster.h"

#include <QTcpSocket>
#include <QtEndian>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace papayaline;

class TestBadInput : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestBadInput);
  CPPUNIT_TEST(LengthOfOneGigabyteIsRefused);
  CPPUNIT_TEST(LengthTooSmallIsRefused);
  CPPUNIT_TEST(StartupWithoutEndIsRefused);
  CPPUNIT_TEST(HalfMessageAndSilenceHurtsNobody);
  CPPUNIT_TEST(StatementNotUtf8IsRefusedAndSessionGoesOn);
  CPPUNIT_TEST(StatementOfHundredMegabytesIsRefused);
  CPPUNIT_TEST(SessionsThatVanishAfterStartupHurtNobody);
  CPPUNIT_TEST(SessionsInQuickSuccessionAreAllAnswered);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<Cluster> sCluster;

  static QByteArray Length(quint32 aValue)
  {
    QByteArray bytes(4, '\0');
    qToBigEndian(aValue, bytes.data());
    return bytes;
  }

  static QByteArray Startup()
  {
    const auto body =
      Length(196608) + QByteArray("user\0agents\0database\0bookings\0\0", 31);
    return Length(static_cast<quint32>(body.size()) + 4) + body;
  }

  static std::unique_ptr<QTcpSocket> Open(const QByteArray& aBytes)
  {
    auto socket = std::make_unique<QTcpSocket>();
    socket->connectToHost("127.0.0.1", sCluster->CallerPort(0));
    socket->waitForConnected(2000);
    socket->write(aBytes);
    socket->waitForBytesWritten(2000);
    return socket;
  }

  static QByteArray ReadUntil(QTcpSocket& aSocket, const QByteArray& aText)
  {
    // Includes bytes that arrived while the request was being written.
    auto seen = aSocket.readAll();
    while (!seen.contains(aText) && aSocket.waitForReadyRead(3000)) {
      seen += aSocket.readAll();
    }
    return seen + aSocket.readAll();
  }

  static void AssertOthersUnaffected()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         sCluster->Connect(0).Run("SELECT 1").Cell());
  }

public:
  void setUp() override
  {
    if (!sCluster) {
      sCluster = std::make_unique<Cluster>();
      CPPUNIT_ASSERT(sCluster->Start());
    }
  }

  void tearDown() override { AssertOthersUnaffected(); }

  void LengthOfOneGigabyteIsRefused()
  {
    auto socket = Open(Startup() + "Q" + Length(1024 * 1024 * 1024));
    CPPUNIT_ASSERT(ReadUntil(*socket, "C54000").contains("C54000"));
  }

  void LengthTooSmallIsRefused()
  {
    auto socket = Open(Startup() + "Q" + Length(1));
    CPPUNIT_ASSERT(ReadUntil(*socket, "C08P01").contains("C08P01"));
  }

  void StartupWithoutEndIsRefused()
  {
    auto socket = Open(Length(1'000'000) + QByteArray(20'000, 'x'));
    CPPUNIT_ASSERT(ReadUntil(*socket, "C54000").contains("C54000"));
  }

  void HalfMessageAndSilenceHurtsNobody()
  {
    auto socket = Open(Startup() + "Q" + Length(100) + "SELECT");
    AssertOthersUnaffected();
    CPPUNIT_ASSERT(socket->state() == QAbstractSocket::ConnectedState);
  }

  void StatementNotUtf8IsRefusedAndSessionGoesOn()
  {
    auto caller = sCluster->Connect(0);
    CPPUNIT_ASSERT_EQUAL(std::string("42601"),
                         caller.Run("SELECT '\xff\xfe'").mSqlState);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), caller.Run("SELECT 1").Cell());
  }

  void StatementOfHundredMegabytesIsRefused()
  {
    auto caller = sCluster->Connect(0);
    const auto result =
      caller.Run("SELECT '" + std::string(100 * 1024 * 1024, 'x') + "'");
    CPPUNIT_ASSERT(!result.mIsOk);
  }

  /// Guards against faults while a session moves to its group's worker: the
  /// first bytes or the end of the connection can arrive during the move.
  void SessionsThatVanishAfterStartupHurtNobody()
  {
    constexpr int kSessions = 1500;
    for (int it = 0; it < kSessions; ++it) {
      const auto pipelined =
        it % 3 == 0 ? "Q" + Length(13) + QByteArray("SELECT 1\0", 9) : "";
      auto socket = Open(Startup() + pipelined);
      CPPUNIT_ASSERT_EQUAL(QAbstractSocket::ConnectedState, socket->state());
      if (it % 3 != 1) {
        CPPUNIT_ASSERT(socket->waitForReadyRead(3000));
      }
      socket->abort();
    }
  }

  void SessionsInQuickSuccessionAreAllAnswered()
  {
    constexpr int kSessions = 1500;
    for (int it = 0; it < kSessions; ++it) {
      auto socket = Open(Startup() + "Q" + Length(13) +
                         QByteArray("SELECT 1\0", 9) + "X" + Length(4));
      CPPUNIT_ASSERT(ReadUntil(*socket, "SELECT 1").contains("SELECT 1"));
    }
  }
};

std::unique_ptr<Cluster> TestBadInput::sCluster;

CPPUNIT_TEST_SUITE_REGISTRATION(TestBadInput);
