#include "Checker.h"
#include "Workload.h"

#include <QThread>
#include <cppunit/extensions/HelperMacros.h>
#include <future>

using namespace papayaline;

class TestLeaving : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestLeaving);
  CPPUNIT_TEST(UpstreamLeavingPrimaryIsReplacedWithoutFailedWrite);
  CPPUNIT_TEST(UpstreamLeavingGetsNothingAfterThreeSeconds);
  CPPUNIT_TEST(SwitchoverOnRequestFailsNoWrite);
  CPPUNIT_TEST(InstancesAllReplacedUnderLoadNothingIsLost);
  CPPUNIT_TEST(InstanceDrainsRequestInFlightGetsItsAnswer);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kInstances = 3;
  static constexpr int kWorkers = 4;

  std::unique_ptr<Cluster> mCluster;
  std::unique_ptr<Workload> mWorkload;

  void AssertHistoryIsValid()
  {
    const auto violations = CheckHistory(mWorkload->Finish());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      violations.empty() ? "" : violations[0], size_t(0), violations.size());
  }

public:
  void setUp() override
  {
    ClusterOptions options;
    options.mInstances = kInstances;
    options.mLagMs = 10;
    mCluster = std::make_unique<Cluster>(options);
    CPPUNIT_ASSERT(mCluster->Start());
    mWorkload = std::make_unique<Workload>(*mCluster, kInstances, 1);
    CPPUNIT_ASSERT(mWorkload->Prepare());
    mWorkload->Start(kWorkers);
  }

  void tearDown() override
  {
    mWorkload.reset();
    mCluster.reset();
  }

  void UpstreamLeavingPrimaryIsReplacedWithoutFailedWrite()
  {
    const auto leaving = mCluster->Primary();
    mCluster->SetLeavingUpstream(leaving);
    const auto file =
      mCluster->WriteFile("leaving.yaml", mCluster->OperatorFile());
    CPPUNIT_ASSERT_EQUAL(0, mCluster->Operator({ "apply", file }).first);
    const auto isReplaced = [&] {
      const auto primary = mCluster->Primary();
      return !primary.empty() && primary != leaving;
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(isReplaced, 3000));
    QThread::msleep(1000);
    CPPUNIT_ASSERT_EQUAL(0, mWorkload->NotRun());
    CPPUNIT_ASSERT_EQUAL(0, mWorkload->Unknown());
    AssertHistoryIsValid();
  }

  void UpstreamLeavingGetsNothingAfterThreeSeconds()
  {
    const auto leaving = mCluster->Replicas().front();
    const auto served = [&] {
      return std::stoll(mCluster->ConnectDirect(leaving)
                          .Run("SELECT * FROM papayaline_standin_served()")
                          .Cell());
    };
    const auto before = served();
    const auto isUsed = [&] { return served() > before; };
    CPPUNIT_ASSERT(Cluster::WaitFor(isUsed, 5000));
    mCluster->SetLeavingUpstream(leaving);
    const auto file =
      mCluster->WriteFile("leaving.yaml", mCluster->OperatorFile());
    CPPUNIT_ASSERT_EQUAL(0, mCluster->Operator({ "apply", file }).first);
    QThread::msleep(3000);
    const auto after = served();
    QThread::msleep(1500);
    CPPUNIT_ASSERT_EQUAL(after, served());
    CPPUNIT_ASSERT_EQUAL(0, mWorkload->Unknown());
    AssertHistoryIsValid();
  }

  void SwitchoverOnRequestFailsNoWrite()
  {
    const auto before = mCluster->Primary();
    const auto [code, output] =
      mCluster->Operator({ "switchover", "bookings" });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output.toStdString(), 0, code);
    const auto isReplaced = [&] {
      const auto primary = mCluster->Primary();
      return !primary.empty() && primary != before;
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(isReplaced, 5000));
    QThread::msleep(500);
    CPPUNIT_ASSERT_EQUAL(0, mWorkload->NotRun());
    CPPUNIT_ASSERT_EQUAL(0, mWorkload->Unknown());
    AssertHistoryIsValid();
  }

  /// The write takes longer than the drain notice, so it is in flight when the
  /// instance closes its sessions.
  void InstanceDrainsRequestInFlightGetsItsAnswer()
  {
    mWorkload->Stop();
    mCluster->SetDatabaseOption(mCluster->Primary(), "statement_ms", 400);
    auto caller = mCluster->Connect(0);
    auto answer = std::async(std::launch::async, [&] {
      return caller.Run("INSERT INTO visits VALUES (1000000, 0)");
    });
    QThread::msleep(100);
    mCluster->Instance(0).Terminate();
    const auto result = answer.get();
    CPPUNIT_ASSERT_MESSAGE(result.mMessage, result.mIsOk);
    CPPUNIT_ASSERT_EQUAL(0, mCluster->Instance(0).WaitForExit(20'000));
    CPPUNIT_ASSERT(!caller.Run("SELECT 1").mIsOk);
  }

  void InstancesAllReplacedUnderLoadNothingIsLost()
  {
    for (int it = 0; it < kInstances; ++it) {
      mCluster->Instance(it).Terminate();
      CPPUNIT_ASSERT_EQUAL(0, mCluster->Instance(it).WaitForExit(20'000));
      mCluster->StartInstance(it);
      const auto isReady = [&] {
        return mCluster->Http(it, "/readyz").mStatus == 200;
      };
      CPPUNIT_ASSERT(Cluster::WaitFor(isReady, 5000));
    }
    CPPUNIT_ASSERT_EQUAL(0, mWorkload->Unknown());
    AssertHistoryIsValid();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeaving);
