#include "LibWire/FrameReader.h"
#include "LibWire/MessageParser.h"

#include <QtEndian>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

class TestFrameReader : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestFrameReader);
  CPPUNIT_TEST(FrameByteByByteIsReadOnce);
  CPPUNIT_TEST(FrameHugeLengthIsRefusedBeforeItsBody);
  CPPUNIT_TEST(FrameImpossibleLengthIsRefused);
  CPPUNIT_TEST(StartupTooLongIsRefused);
  CPPUNIT_TEST(QueryInvalidUtf8IsRefused);
  CPPUNIT_TEST(BindTruncatedIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr qsizetype kLimit = 1024;

  static QByteArray EncodeLength(quint32 aValue)
  {
    QByteArray bytes(4, '\0');
    qToBigEndian(aValue, bytes.data());
    return bytes;
  }

  static FrameReader MakeReaderAfterStartup()
  {
    FrameReader reader(kLimit);
    reader.Append(EncodeLength(8) + EncodeLength(196608));
    (void)reader.Next();
    return reader;
  }

public:
  void FrameByteByByteIsReadOnce()
  {
    auto reader = MakeReaderAfterStartup();
    const auto bytes = "Q" + EncodeLength(9) + QByteArray("abcd\0", 5);
    for (qsizetype it = 0; it < bytes.size(); ++it) {
      CPPUNIT_ASSERT(!reader.Next().Value());
      reader.Append(bytes.mid(it, 1));
    }
    const auto frame = reader.Next();
    CPPUNIT_ASSERT(frame.Value()->mType == 'Q');
    CPPUNIT_ASSERT(!reader.Next().Value());
  }

  void FrameHugeLengthIsRefusedBeforeItsBody()
  {
    auto reader = MakeReaderAfterStartup();
    reader.Append("Q" + EncodeLength(1024 * 1024 * 1024));
    CPPUNIT_ASSERT(reader.Next().GetError().mKind ==
                   ErrorKind::MessageTooLarge);
  }

  void FrameImpossibleLengthIsRefused()
  {
    auto reader = MakeReaderAfterStartup();
    reader.Append("Q" + EncodeLength(3));
    CPPUNIT_ASSERT(reader.Next().GetError().mKind ==
                   ErrorKind::ProtocolViolation);
  }

  void StartupTooLongIsRefused()
  {
    FrameReader reader(100 * kLimit);
    reader.Append(EncodeLength(FrameReader::kMaxStartupBytes + 1));
    CPPUNIT_ASSERT(reader.Next().IsError());
  }

  void QueryInvalidUtf8IsRefused()
  {
    CPPUNIT_ASSERT(ParseQuery(QByteArray("\xff\xfe\0", 3)).IsError());
  }

  void BindTruncatedIsRefused()
  {
    CPPUNIT_ASSERT(ParseBind(QByteArray("\0\0\0", 3)).IsError());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFrameReader);
