#include "LibCore/StructuredLog.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <thread>
#include <unistd.h>

using namespace papayaline;

/// Redirects standard output, to which the log writes, into a pipe.
class TestStructuredLog : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestStructuredLog);
  CPPUNIT_TEST(FloodIsBoundedAndCounted);
  CPPUNIT_TEST(FloodOfRequestsDropsNoDecision);
  CPPUNIT_TEST(UnreadOutputBlocksNoWriter);
  CPPUNIT_TEST_SUITE_END();

  int mStandardOutput = -1;
  int mPipe[2] = { -1, -1 };

  QList<QByteArray> ReadLines() const
  {
    QByteArray bytes;
    char buf[4096];
    ssize_t n = 0;
    while ((n = read(mPipe[0], buf, sizeof buf)) > 0) {
      bytes.append(buf, n);
    }
    return bytes.split('\n');
  }

  /// Reads until the writer thread has written the line of aEvent.
  QList<QByteArray> ReadLinesUntil(const std::string& aEvent) const
  {
    QList<QByteArray> lines;
    while (true) {
      lines += ReadLines();
      for (const auto& it : lines) {
        if (it.contains(aEvent.c_str())) {
          return lines;
        }
      }
      std::this_thread::yield();
    }
  }

public:
  void setUp() override
  {
    CPPUNIT_ASSERT_EQUAL(0, pipe2(mPipe, O_NONBLOCK));
    mStandardOutput = dup(STDOUT_FILENO);
    dup2(mPipe[1], STDOUT_FILENO);
  }

  void tearDown() override
  {
    dup2(mStandardOutput, STDOUT_FILENO);
    close(mStandardOutput);
    close(mPipe[0]);
    close(mPipe[1]);
  }

  void FloodIsBoundedAndCounted()
  {
    constexpr int kLines = 100'000;
    for (int it = 0; it < kLines; ++it) {
      StructuredLog::Instance().Write(
        LogPriority::Request, "request.flood", { { "n", "1" } });
    }
    StructuredLog::Instance().Write(LogPriority::Decision, "flood.end", {});
    const auto lines = ReadLinesUntil("flood.end");
    const auto floods = std::ranges::count_if(
      lines, [](const auto& it) { return it.contains("request.flood"); });
    CPPUNIT_ASSERT(floods > 0);
    CPPUNIT_ASSERT(floods < kLines / 10);
  }

  void FloodOfRequestsDropsNoDecision()
  {
    for (int it = 0; it < 10'000; ++it) {
      StructuredLog::Instance().Write(LogPriority::Request, "request.x", {});
    }
    StructuredLog::Instance().Write(
      LogPriority::Decision, "decision", { { "age", "5 \"ms\"" } });
    const auto lines = ReadLinesUntil("\"decision\"");
    const auto line = std::ranges::find_if(
      lines, [](const auto& it) { return it.contains("\"decision\""); });
    const auto json = QJsonDocument::fromJson(*line).object();
    CPPUNIT_ASSERT(json["age"].toString() == "5 \"ms\"");
  }

  /// The pipe is never read here. If a write blocked on the full pipe, the test
  /// would hang and fail by the timeout of the suite.
  void UnreadOutputBlocksNoWriter()
  {
    const std::string big(4000, 'x');
    for (int it = 0; it < 5'000; ++it) {
      StructuredLog::Instance().Write(it % 2 ? LogPriority::Request
                                             : LogPriority::Decision,
                                      "unread",
                                      { { "text", big } });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStructuredLog);
