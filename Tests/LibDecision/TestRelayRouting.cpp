#include "LibDecision/RelayRouting.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// The choice of a database for a read whose allowed age both replicas meet.
class TestRelayRouting : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestRelayRouting);
  CPPUNIT_TEST(DatabaseInTheSameDomainIsPreferred);
  CPPUNIT_TEST(QueueLongerThanThePenaltyLeavesTheDomain);
  CPPUNIT_TEST(PrimaryInTheRegionIsPreferredToAReplicaInAnother);
  CPPUNIT_TEST(QueueAtThePrimaryLongerThanThePenaltyLeavesTheRegion);
  CPPUNIT_TEST(PrimaryOfAnEarlierTermThanTheOwnWriteIsNotChosen);
  CPPUNIT_TEST(ReadAtPrimaryRequiresThePositionOfItsTerm);
  CPPUNIT_TEST(PositionOfAnEarlierTermIsNotRequiredOfThePrimary);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Instant kNow = Instant(1h);

  static ReplicationStatus Status(const std::string& aName, Role aRole)
  {
    ReplicationStatus status;
    status.mUpstream = aName;
    status.mRole = aRole;
    status.mTerm = 1;
    status.mReceived = { 1, 10 };
    status.mRequestedAt = kNow;
    return status;
  }

  GroupView mView;

  std::string Choose(std::vector<RelayCandidate> aCandidates) const
  {
    RelayRequirements requirements;
    requirements.mMaxAge = 1500ms;
    requirements.mStartedAt = kNow;
    const auto choice = ChooseUpstream(requirements, aCandidates, mView);
    CPPUNIT_ASSERT(choice.mVerdict == RelayVerdict::Run);
    return aCandidates[choice.mIndex].mName;
  }

  static RelayCandidate Candidate(const std::string& aName,
                                  Distance aDistance,
                                  unsigned aInFlight = 0)
  {
    RelayCandidate candidate;
    candidate.mName = aName;
    candidate.mDistance = aDistance;
    candidate.mInFlight = aInFlight;
    candidate.mSlots = 2;
    candidate.mServiceTime = 15ms;
    return candidate;
  }

public:
  void setUp() override
  {
    mView = GroupView();
    mView.SetMembers({ { "p", "a" }, { "r", "b" }, { "s", "c" } }, Instant{});
    mView.ObserveStatus(Status("p", Role::Primary), kNow);
    mView.ObserveStatus(Status("r", Role::Replica), kNow);
    mView.ObserveStatus(Status("s", Role::Replica), kNow);
    for (const auto* it : { "p", "r", "s" }) {
      mView.ObservePosition(it, { 1, 10 }, kNow, kNow);
    }
  }

  void DatabaseInTheSameDomainIsPreferred()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("r"),
                         Choose({ Candidate("s", Distance::SameRegion),
                                  Candidate("r", Distance::SameDomain, 2) }));
  }

  void QueueLongerThanThePenaltyLeavesTheDomain()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("s"),
                         Choose({ Candidate("s", Distance::SameRegion),
                                  Candidate("r", Distance::SameDomain, 4) }));
  }

  void PrimaryInTheRegionIsPreferredToAReplicaInAnother()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("p"),
                         Choose({ Candidate("p", Distance::SameDomain),
                                  Candidate("s", Distance::OtherRegion) }));
    CPPUNIT_ASSERT_EQUAL(std::string("s"),
                         Choose({ Candidate("p", Distance::SameDomain),
                                  Candidate("s", Distance::SameRegion) }));
  }

  void QueueAtThePrimaryLongerThanThePenaltyLeavesTheRegion()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("s"),
                         Choose({ Candidate("p", Distance::SameDomain, 4),
                                  Candidate("s", Distance::OtherRegion) }));
  }

  RelayChoice ChooseAtPrimary(std::optional<LogPosition> aLastWrite,
                              bool aMayWrite) const
  {
    RelayRequirements requirements;
    requirements.mNeedsPrimary = aMayWrite;
    requirements.mMaxAge = 1500ms;
    requirements.mLastWritePosition = aLastWrite;
    requirements.mStartedAt = kNow;
    const std::array candidates{ Candidate("p", Distance::SameDomain) };
    return ChooseUpstream(requirements, candidates, mView);
  }

  /// Guards against a read at a replaced primary that lacks the session's
  /// write, and against a write that can't be acknowledged.
  void PrimaryOfAnEarlierTermThanTheOwnWriteIsNotChosen()
  {
    for (const bool mayWrite : { false, true }) {
      const auto choice = ChooseAtPrimary(LogPosition{ 2, 1 }, mayWrite);
      CPPUNIT_ASSERT(choice.mVerdict == RelayVerdict::WaitForPrimary);
    }
  }

  /// The database itself refuses the read if it started again without its log.
  void ReadAtPrimaryRequiresThePositionOfItsTerm()
  {
    const LogPosition written{ 1, 12 };
    for (const bool mayWrite : { false, true }) {
      const auto choice = ChooseAtPrimary(written, mayWrite);
      CPPUNIT_ASSERT(choice.mVerdict == RelayVerdict::Run);
      CPPUNIT_ASSERT(choice.mPrimary);
      CPPUNIT_ASSERT(choice.mMinPosition == written);
    }
    CPPUNIT_ASSERT(ChooseAtPrimary({}, false).mMinPosition ==
                   LogPosition(1, 10));
  }

  /// It survived the promotion, so the primary has it, or no database has it.
  void PositionOfAnEarlierTermIsNotRequiredOfThePrimary()
  {
    for (const bool mayWrite : { false, true }) {
      const auto choice = ChooseAtPrimary(LogPosition{ 0, 99 }, mayWrite);
      CPPUNIT_ASSERT(choice.mVerdict == RelayVerdict::Run);
      CPPUNIT_ASSERT(choice.mMinPosition != LogPosition(0, 99));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRelayRouting);
