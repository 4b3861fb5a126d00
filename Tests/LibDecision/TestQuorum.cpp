#include "LibDecision/Quorum.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestQuorum : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestQuorum);
  CPPUNIT_TEST(AcknowledgementOneCopyIsRefused);
  CPPUNIT_TEST(AcknowledgementCopyOfLaterTermIsNoEvidence);
  CPPUNIT_TEST(FrontierAllAnsweredTakesMajorityPosition);
  CPPUNIT_TEST(FrontierOneUnansweredTakesHighestPosition);
  CPPUNIT_TEST(FrontierTermsDifferIsNotConfirmed);
  CPPUNIT_TEST(FrontierReportTooOldIsLeftOut);
  CPPUNIT_TEST(TokenDivergentTailDoesNotContain);
  CPPUNIT_TEST_SUITE_END();

  static UpstreamReport Report(const char* aName,
                               uint64_t aTerm,
                               LogPosition aLast,
                               Instant aRequestedAt = Instant() + 1s)
  {
    UpstreamReport report;
    report.mUpstream = aName;
    report.mFencedTerm = aTerm;
    report.mRole = Role::Replica;
    report.mLast = aLast;
    report.mRequestedAt = aRequestedAt;
    return report;
  }

public:
  void AcknowledgementOneCopyIsRefused()
  {
    const std::vector reports = { Report("a", 1, { 1, 5 }),
                                  Report("b", 1, { 1, 4 }) };
    CPPUNIT_ASSERT(!IsAcknowledged(reports, 3, { 1, 5 }));
    CPPUNIT_ASSERT(IsAcknowledged(reports, 3, { 1, 4 }));
  }

  void AcknowledgementCopyOfLaterTermIsNoEvidence()
  {
    const std::vector reports = { Report("a", 2, { 1, 5 }),
                                  Report("b", 1, { 1, 5 }) };
    CPPUNIT_ASSERT(!IsAcknowledged(reports, 3, { 1, 5 }));
  }

  void FrontierAllAnsweredTakesMajorityPosition()
  {
    const std::vector reports = { Report("a", 1, { 1, 9 }),
                                  Report("b", 1, { 1, 7 }),
                                  Report("c", 1, { 1, 2 }) };
    const auto frontier = ConfirmFrontier(reports, 3, Instant());
    CPPUNIT_ASSERT(frontier);
    CPPUNIT_ASSERT((frontier->mPosition == LogPosition{ 1, 7 }));
  }

  void FrontierOneUnansweredTakesHighestPosition()
  {
    const std::vector reports = { Report("a", 1, { 1, 9 }),
                                  Report("c", 1, { 1, 2 }) };
    const auto frontier = ConfirmFrontier(reports, 3, Instant());
    CPPUNIT_ASSERT((frontier->mPosition == LogPosition{ 1, 9 }));
  }

  void FrontierTermsDifferIsNotConfirmed()
  {
    const std::vector reports = { Report("a", 1, { 1, 9 }),
                                  Report("c", 2, { 1, 2 }) };
    CPPUNIT_ASSERT(!ConfirmFrontier(reports, 3, Instant()));
  }

  void FrontierReportTooOldIsLeftOut()
  {
    const std::vector reports = { Report("a", 1, { 1, 9 }, Instant() + 2s),
                                  Report("c", 1, { 1, 9 }, Instant() + 1s) };
    CPPUNIT_ASSERT(!ConfirmFrontier(reports, 3, Instant() + 2s));
    CPPUNIT_ASSERT(ConfirmFrontier(reports, 3, Instant() + 1s));
  }

  void TokenDivergentTailDoesNotContain()
  {
    CPPUNIT_ASSERT(!ContainsToken(Report("a", 2, { 1, 9 }), { 2, 5 }));
    CPPUNIT_ASSERT(ContainsToken(Report("a", 2, { 2, 6 }), { 1, 5 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestQuorum);
