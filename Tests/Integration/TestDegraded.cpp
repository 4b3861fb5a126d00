#include "Checker.h"
#include "Workload.h"

#include <QThread>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

class TestDegraded : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestDegraded);
  CPPUNIT_TEST(DatabasesOneLeftWritesAreNotRunAndReadsAge);
  CPPUNIT_TEST(ReplicaFarBehindIsNeverReadStale);
  CPPUNIT_TEST(PlatformDownFailoverStillHappens);
  CPPUNIT_TEST(PrimaryReplacedDivergentTailIsCut);
  CPPUNIT_TEST(LedgerRowsOlderThanRetentionAreDeleted);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<Cluster> mCluster;

  void AwaitPrimaryOtherThan(const std::string& aName)
  {
    const auto isReplaced = [&] {
      const auto primary = mCluster->Primary();
      return !primary.empty() && primary != aName;
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(isReplaced, 8000));
  }

public:
  void setUp() override
  {
    ClusterOptions options;
    options.mLagMs = 10;
    options.mGroupLines = "    ledger_retention: 4s\n";
    options.mClasses = "  - {name: agents, rank: 0, timeout: 1500ms}\n"
                       "  - {name: gallery, rank: 5, max_age: 2s, "
                       "timeout: 500ms}\n";
    mCluster = std::make_unique<Cluster>(options);
    CPPUNIT_ASSERT(mCluster->Start());
    auto caller = mCluster->Connect(0);
    CPPUNIT_ASSERT(caller.Run("CREATE TABLE t (id INTEGER)").mIsOk);
    CPPUNIT_ASSERT(caller.Run("INSERT INTO t VALUES (1)").mIsOk);
  }

  void DatabasesOneLeftWritesAreNotRunAndReadsAge()
  {
    const auto replicas = mCluster->Replicas();
    auto visitor = mCluster->Connect(0, "bookings", {}, "gallery");
    auto agent = mCluster->Connect(0);
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         visitor.Run("SELECT id FROM t").Cell());
    mCluster->Database(mCluster->Primary()).Kill();
    mCluster->Database(replicas[0]).Kill();
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         visitor.Run("SELECT id FROM t").Cell());
    QThread::msleep(2500);
    const auto refused = agent.Run("INSERT INTO t VALUES (2)");
    CPPUNIT_ASSERT(refused.mMessage.find("was not run") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("57P03"),
                         visitor.Run("SELECT id FROM t").mSqlState);
    CPPUNIT_ASSERT(mCluster->Primary().empty());
  }

  void ReplicaFarBehindIsNeverReadStale()
  {
    const auto slow = mCluster->Replicas().front();
    mCluster->SetDatabaseOption(slow, "lag_ms", 30'000);
    Workload workload(*mCluster, 3, 1);
    CPPUNIT_ASSERT(workload.Prepare());
    workload.Start(4);
    QThread::msleep(4000);
    const auto isProgressing = [&] { return workload.Acknowledged() > 100; };
    CPPUNIT_ASSERT(Cluster::WaitFor(isProgressing, 60'000));
    const auto violations = CheckHistory(workload.Finish());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      violations.empty() ? "" : violations[0], size_t(0), violations.size());
  }

  void PlatformDownFailoverStillHappens()
  {
    mCluster->SetPlatformFaults({ { "outage", "hang" } });
    const auto old = mCluster->Primary();
    mCluster->Database(old).Kill();
    AwaitPrimaryOtherThan(old);
    const auto writes = [&] {
      return mCluster->Connect(1).Run("INSERT INTO t VALUES (3)").mIsOk;
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(writes, 8000));
  }

  void LedgerRowsOlderThanRetentionAreDeleted()
  {
    auto caller = mCluster->Connect(0);
    caller.Run("SET papayaline.request_id = 'old'");
    CPPUNIT_ASSERT(caller.Run("INSERT INTO t VALUES (7)").mIsOk);
    const auto rows = [&] {
      return mCluster->ConnectDirect(mCluster->Primary())
        .Run("SELECT count(*) FROM papayaline_ledger "
             "WHERE request_id = 'old'")
        .Cell();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("1"), rows());
    CPPUNIT_ASSERT(Cluster::WaitFor([&] { return rows() == "0"; }, 12'000));
  }

  void PrimaryReplacedDivergentTailIsCut()
  {
    const auto old = mCluster->Primary();
    mCluster->SetFault(old + "/replication", "none", "drop");
    // Only the old primary commits this write, so no instance may acknowledge
    // it.
    mCluster->ConnectDirect(old).Run("INSERT INTO t VALUES (99)");
    AwaitPrimaryOtherThan(old);
    mCluster->SetFault(old + "/replication", "none", "none");
    const auto isTruncated = [&] {
      return mCluster->ConnectDirect(old)
               .Run("SELECT count(*) FROM t WHERE id = 99")
               .Cell() == "0";
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(isTruncated, 8000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDegraded);
