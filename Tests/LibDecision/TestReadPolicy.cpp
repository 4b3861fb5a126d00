#include "LibDecision/ReadPolicy.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestReadPolicy : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestReadPolicy);
  CPPUNIT_TEST(TokenReplicaBehindWaitsThenUsesPrimary);
  CPPUNIT_TEST(AgedReadPastItsMaxAgeWithPartitionedPrimaryWaits);
  CPPUNIT_TEST(ReadAtReplicaFencedMeanwhileIsNotReturned);
  CPPUNIT_TEST(ReplicaLeastWorkIsChosen);
  CPPUNIT_TEST(PrimaryReadWithOldEvidenceIsNotReturned);
  CPPUNIT_TEST(HistoryDominatedFrontierIsDropped);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Instant kNow = Instant() + 100s;

  static ReadCandidate Candidate(const char* aName,
                                 Role aRole,
                                 uint64_t aOffset,
                                 uint32_t aInUse = 0)
  {
    ReadCandidate candidate;
    candidate.mReport.mUpstream = aName;
    candidate.mReport.mFencedTerm = 1;
    candidate.mReport.mRole = aRole;
    candidate.mReport.mLast = { 1, aOffset };
    candidate.mReport.mRequestedAt = kNow;
    candidate.mInUse = aInUse;
    candidate.mSlots = 3;
    return candidate;
  }

public:
  void TokenReplicaBehindWaitsThenUsesPrimary()
  {
    const std::vector candidates = { Candidate("p", Role::Primary, 9),
                                     Candidate("r", Role::Replica, 5) };
    const ReadRequirements requirements{ LogPosition{ 1, 7 },
                                         std::nullopt,
                                         kNow };
    const ReadSettings settings;
    auto choice = ChooseRead(requirements, candidates, {}, settings, kNow);
    CPPUNIT_ASSERT(choice.mVerdict == ReadVerdict::Wait);
    choice = ChooseRead(
      requirements, candidates, {}, settings, kNow + settings.mReplicaWait);
    CPPUNIT_ASSERT(choice.mVerdict == ReadVerdict::UsePrimary);
  }

  void AgedReadPastItsMaxAgeWithPartitionedPrimaryWaits()
  {
    FrontierHistory frontiers;
    frontiers.Record({ { 1, 5 }, kNow - 3s });
    const std::vector candidates = { Candidate("r", Role::Replica, 5) };
    const ReadRequirements requirements{ std::nullopt, 2s, kNow };
    const auto choice =
      ChooseRead(requirements, candidates, frontiers, {}, kNow + 1s);
    CPPUNIT_ASSERT(choice.mVerdict == ReadVerdict::Wait);
  }

  void ReadAtReplicaFencedMeanwhileIsNotReturned()
  {
    const auto chosen = Candidate("r", Role::Replica, 5).mReport;
    auto after = chosen;
    CPPUNIT_ASSERT(MayReturnReplicaRead(chosen, after));
    after.mRole = Role::Primary;
    CPPUNIT_ASSERT(!MayReturnReplicaRead(chosen, after));
    after = chosen;
    after.mFencedTerm = 2;
    after.mLast = { 2, 6 };
    CPPUNIT_ASSERT(!MayReturnReplicaRead(chosen, after));
  }

  void ReplicaLeastWorkIsChosen()
  {
    const std::vector candidates = { Candidate("r1", Role::Replica, 9, 2),
                                     Candidate("r2", Role::Replica, 9, 1) };
    const ReadRequirements requirements{ LogPosition{ 1, 7 },
                                         std::nullopt,
                                         kNow };
    const auto choice = ChooseRead(requirements, candidates, {}, {}, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t(1), choice.mIndex);
  }

  void PrimaryReadWithOldEvidenceIsNotReturned()
  {
    std::vector reports = { Candidate("p", Role::Primary, 9).mReport,
                            Candidate("r", Role::Replica, 9).mReport };
    CPPUNIT_ASSERT(MayReturnPrimaryRead(reports, 3, { 1, 9 }, kNow));
    CPPUNIT_ASSERT(!MayReturnPrimaryRead(reports, 3, { 1, 9 }, kNow + 1ms));
  }

  void HistoryDominatedFrontierIsDropped()
  {
    FrontierHistory frontiers;
    frontiers.Record({ { 1, 9 }, kNow });
    frontiers.Record({ { 1, 5 }, kNow + 1s });
    CPPUNIT_ASSERT_EQUAL(size_t(1), frontiers.All().size());
    CPPUNIT_ASSERT(
      (frontiers.AtOrAfter(kNow)->mPosition == LogPosition{ 1, 5 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReadPolicy);
