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
    QByteArray seen;
    while (!seen.contains(aText) && aSocket.waitForReadyRead(3000)) {
      seen += aSocket.readAll();
    }
    return seen;
  }

  static void AssertOthersUnhurt()
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

  void tearDown() override { AssertOthersUnhurt(); }

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
    AssertOthersUnhurt();
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
};

std::unique_ptr<Cluster> TestBadInput::sCluster;

CPPUNIT_TEST_SUITE_REGISTRATION(TestBadInput);
