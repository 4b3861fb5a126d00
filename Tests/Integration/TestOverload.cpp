#include "Cluster.h"

#include <QThread>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <thread>

using namespace papayaline;

class TestOverload : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestOverload);
  CPPUNIT_TEST(CallersMoreThanSlotsRefusalsAreTrueAndBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  /// With far more callers than slots, an acknowledged write is present and a
  /// write refused as not run is absent; the connection limit of the databases
  /// holds.
  void CallersMoreThanSlotsRefusalsAreTrueAndBounded()
  {
    ClusterOptions options;
    options.mInstances = 2;
    options.mSlots = 2;
    options.mStatementMs = 5;
    options.mQueueLimit = 10;
    options.mClasses = "  - {name: agents, rank: 0, timeout: 400ms}\n"
                       "  - {name: gallery, rank: 5, max_age: 2s, "
                       "timeout: 400ms}\n";
    Cluster cluster(options);
    CPPUNIT_ASSERT(cluster.Start());
    CPPUNIT_ASSERT(cluster.Connect(0).Run("CREATE TABLE t (id INTEGER)").mIsOk);
    std::atomic<bool> isStopping{ false };
    std::atomic<int> done{ 0 };
    std::atomic<int> notRun{ 0 };
    std::atomic<int> unknown{ 0 };
    std::atomic<int> id{ 0 };
    std::vector<std::thread> threads;
    for (int it = 0; it < 60; ++it) {
      threads.emplace_back([&, it] {
        auto caller = cluster.Connect(it % 2);
        while (!isStopping) {
          const auto result =
            caller.Run("INSERT INTO t VALUES (" + std::to_string(++id) + ")");
          const bool isRefused =
            result.mMessage.find("was not run") != std::string::npos;
          ++(result.mIsOk ? done : isRefused ? notRun : unknown);
        }
      });
    }
    // Waits for a number of writes instead of a time, so that a slow machine
    // passes as well.
    const bool isProgressing =
      Cluster::WaitFor([&] { return done > 50 && notRun > 0; }, 60'000);
    isStopping = true;
    for (auto& it : threads) {
      it.join();
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(done), isProgressing);
    auto direct = cluster.ConnectDirect(cluster.Primary());
    const auto present = std::stoi(direct.Run("SELECT count(*) FROM t").Cell());
    CPPUNIT_ASSERT(present >= done);
    CPPUNIT_ASSERT(present <= done + unknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOverload);
