#include "LibDecision/AdmissionQueue.h"
#include "LibDecision/ConnectionBudget.h"
#include "LibDecision/RetryBudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestAdmissionQueue : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestAdmissionQueue);
  CPPUNIT_TEST(QueueFullLowerClassIsDisplaced);
  CPPUNIT_TEST(QueueFullSameClassIsRefused);
  CPPUNIT_TEST(WaitPastDeadlineIsRefusedEarly);
  CPPUNIT_TEST(OrderFollowsClassThenArrival);
  CPPUNIT_TEST(RetryBudgetSpentRefusesUntilSuccesses);
  CPPUNIT_TEST(ConnectionsNineInstancesStayWithinLimit);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Instant kNow = Instant() + 10s;

public:
  void QueueFullLowerClassIsDisplaced()
  {
    AdmissionQueue queue(1, 1);
    queue.Offer({ 1, 5, kNow + 1s }, kNow);
    CPPUNIT_ASSERT(queue.Offer({ 2, 0, kNow + 1s }, kNow) ==
                   Admission::Admitted);
    CPPUNIT_ASSERT(queue.TakeEvicted() == std::vector<uint64_t>{ 1 });
  }

  void QueueFullSameClassIsRefused()
  {
    AdmissionQueue queue(1, 1);
    queue.Offer({ 1, 0, kNow + 1s }, kNow);
    CPPUNIT_ASSERT(queue.Offer({ 2, 0, kNow + 1s }, kNow) ==
                   Admission::QueueFull);
  }

  void WaitPastDeadlineIsRefusedEarly()
  {
    AdmissionQueue queue(100, 1);
    queue.ObserveServiceTime(100ms);
    for (uint64_t it = 0; it < 10; ++it) {
      queue.Offer({ it, 0, kNow + 10s }, kNow);
    }
    CPPUNIT_ASSERT(queue.Offer({ 10, 0, kNow + 500ms }, kNow) ==
                   Admission::DeadlineTooClose);
  }

  void OrderFollowsClassThenArrival()
  {
    AdmissionQueue queue(10, 1);
    queue.Offer({ 1, 5, kNow + 1s }, kNow);
    queue.Offer({ 2, 0, kNow + 1s }, kNow);
    queue.Offer({ 3, 0, kNow + 1s }, kNow);
    CPPUNIT_ASSERT((queue.Order() == std::vector<uint64_t>{ 2, 3, 1 }));
  }

  void RetryBudgetSpentRefusesUntilSuccesses()
  {
    RetryBudget budget;
    int spent = 0;
    while (budget.TrySpend()) {
      ++spent;
    }
    CPPUNIT_ASSERT_EQUAL(int(RetryBudget::kMaxSavedRetries), spent);
    for (int it = 0; it < 11; ++it) {
      budget.ObserveSuccess();
    }
    CPPUNIT_ASSERT(budget.TrySpend());
    CPPUNIT_ASSERT(!budget.TrySpend());
  }

  void ConnectionsNineInstancesStayWithinLimit()
  {
    const auto share = DivideConnections(20, 2, 9);
    CPPUNIT_ASSERT(9 * (share.mStatus + share.mStatements) + 2 <= 20);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdmissionQueue);
