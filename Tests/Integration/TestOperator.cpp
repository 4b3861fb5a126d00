#include "Cluster.h"

#include <QElapsedTimer>
#include <QJsonArray>
#include <QThread>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <memory>

using namespace papayaline;

class TestOperator : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestOperator);
  CPPUNIT_TEST(FileBadNamesLineAndChangesNothing);
  CPPUNIT_TEST(ApplyWaitIsInForceEverywhereWithinFiveSeconds);
  CPPUNIT_TEST(ApplyTwoAtOnceOneConflicts);
  CPPUNIT_TEST(ApplyAnswerLostIsResolved);
  CPPUNIT_TEST(ApplyOutageIsUnreachableAndChangesNothing);
  CPPUNIT_TEST(InstanceStartedInOutageLearnsFromNeighbours);
  CPPUNIT_TEST(PlatformStaleReadNeverGoesBack);
  CPPUNIT_TEST(PeerPushesOlderVersionIsRefused);
  CPPUNIT_TEST(StatusAndTimelineShowTheFailover);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<Cluster> mCluster;

  QString FileWithLimit(int aLimit) const
  {
    auto text = mCluster->OperatorFile();
    const std::string key = "queue_limit: ";
    const auto at = text.find(key);
    text.replace(at, text.find('\n', at) - at, key + std::to_string(aLimit));
    return mCluster->WriteFile(QString("limit-%1.yaml").arg(aLimit), text);
  }

  qint64 Version(int aInstance) const
  {
    return mCluster->Status(aInstance)["version"].toInteger();
  }

public:
  void setUp() override
  {
    mCluster = std::make_unique<Cluster>();
    CPPUNIT_ASSERT(mCluster->Start());
  }

  void FileBadNamesLineAndChangesNothing()
  {
    const auto file =
      mCluster->WriteFile("bad.yaml", "name: groups\n  groups: wrong\n");
    const auto [code, output] = mCluster->Operator({ "apply", file });
    CPPUNIT_ASSERT_EQUAL(2, code);
    CPPUNIT_ASSERT(output.contains("bad.yaml:2:"));
    const auto unknown = mCluster->WriteFile(
      "unknown.yaml", "name: groups\ngroups: []\nclasses: []\ncolour: 1\n");
    const auto refused = mCluster->Operator({ "apply", unknown });
    CPPUNIT_ASSERT_EQUAL(2, refused.first);
    CPPUNIT_ASSERT(
      refused.second.contains("unknown.yaml:4:1: unknown key \"colour\""));
    CPPUNIT_ASSERT_EQUAL(qint64(1), Version(0));
  }

  void ApplyWaitIsInForceEverywhereWithinFiveSeconds()
  {
    const auto [code, output] = mCluster->Operator(
      { "apply", FileWithLimit(300), "--wait", "--timeout=5" });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output.toStdString(), 0, code);
    for (int it = 0; it < 3; ++it) {
      CPPUNIT_ASSERT(Version(it) > 1);
    }
  }

  void ApplyTwoAtOnceOneConflicts()
  {
    // The platform responds slowly, so both commands read the same version.
    mCluster->SetPlatformFaults({ { "slow_ms", 300 } });
    const auto first = FileWithLimit(301);
    const auto second = FileWithLimit(302);
    auto other = std::async(std::launch::async, [&] {
      return mCluster->Operator({ "apply", first });
    });
    const auto mine = mCluster->Operator({ "apply", second });
    const auto theirs = other.get();
    CPPUNIT_ASSERT_EQUAL(3, mine.first + theirs.first);
    const auto& loser = mine.first == 3 ? mine : theirs;
    CPPUNIT_ASSERT(loser.second.contains("conflict: apply"));
  }

  void ApplyAnswerLostIsResolved()
  {
    mCluster->SetPlatformFaults({ { "lost_answers", 1 } });
    const auto [code, output] =
      mCluster->Operator({ "apply", FileWithLimit(303) });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output.toStdString(), 0, code);
    CPPUNIT_ASSERT(output.contains("applied as version"));
  }

  void ApplyOutageIsUnreachableAndChangesNothing()
  {
    const auto file = FileWithLimit(304);
    mCluster->SetPlatformFaults({ { "outage", "refuse" } });
    CPPUNIT_ASSERT_EQUAL(5, mCluster->Operator({ "apply", file }).first);
    mCluster->SetPlatformFaults({});
    CPPUNIT_ASSERT_EQUAL(qint64(1), Version(0));
  }

  void InstanceStartedInOutageLearnsFromNeighbours()
  {
    mCluster->SetPlatformFaults({ { "outage", "hang" } });
    mCluster->Instance(2).Kill();
    mCluster->StartInstance(2);
    const auto isReady = [&] {
      return mCluster->Http(2, "/readyz").mStatus == 200;
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(isReady, 5000));
    const auto serves = [&] {
      return mCluster->Connect(2).Run("SELECT 1").mIsOk;
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(serves, 5000));
  }

  void PlatformStaleReadNeverGoesBack()
  {
    mCluster->SetPlatformFaults({ { "stale_reads", true } });
    // From here on, reads return an older version than the stored object.
    const auto spec = mCluster->Operator({ "apply", FileWithLimit(305) });
    mCluster->Operator({ "apply", FileWithLimit(306) });
    const auto isNewer = [&] { return Version(0) > 1; };
    CPPUNIT_ASSERT(Cluster::WaitFor(isNewer, 5000));
    const auto before = Version(0);
    mCluster->SetFault("platform", "cut", "cut");
    mCluster->SetFault("platform", "none", "none");
    QThread::msleep(2500);
    for (int it = 0; it < 3; ++it) {
      CPPUNIT_ASSERT(Version(it) >= before);
    }
  }

  void PeerPushesOlderVersionIsRefused()
  {
    auto old = mCluster->Http(0, "/v1/peer/state?version=0").mJson;
    CPPUNIT_ASSERT_EQUAL(qint64(1), old["version"].toInteger());
    CPPUNIT_ASSERT_EQUAL(
      0, mCluster->Operator({ "apply", FileWithLimit(307), "--wait" }).first);
    const auto before = Version(1);
    old["origin"] = "entry-1";
    const auto answer =
      HttpPost(mCluster->HttpUrl(1, "/v1/peer/configuration"), old);
    CPPUNIT_ASSERT_EQUAL(before, answer.mJson["version"].toInteger());
    CPPUNIT_ASSERT_EQUAL(before, Version(1));
  }

  void StatusAndTimelineShowTheFailover()
  {
    mCluster->Database(mCluster->Primary()).Kill();
    const auto hasPrimary = [&] { return !mCluster->Primary().empty(); };
    QThread::msleep(300);
    CPPUNIT_ASSERT(Cluster::WaitFor(hasPrimary, 8000));
    const auto timeline =
      mCluster->Operator({ "timeline", "--group=bookings" });
    CPPUNIT_ASSERT_EQUAL(0, timeline.first);
    const auto& text = timeline.second;
    const auto suspect = text.lastIndexOf("suspect");
    CPPUNIT_ASSERT(suspect > 0);
    CPPUNIT_ASSERT(text.contains("primary unreachable"));
    CPPUNIT_ASSERT(text.contains("promoted"));
    CPPUNIT_ASSERT(text.contains("primary-changed"));
    CPPUNIT_ASSERT_EQUAL(0, mCluster->Operator({ "status" }).first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOperator);
