#include "LibConfiguration/Configuration.h"
#include "LibDecision/GroupView.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestGroupView : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestGroupView);
  CPPUNIT_TEST(CommitReceivedByOneReplicaOfTwoIsReplicated);
  CPPUNIT_TEST(PrimaryThatSteppedDownIsNoReplicaOfItself);
  CPPUNIT_TEST(ReplicaOfAnotherTermIsNoEvidence);
  CPPUNIT_TEST(MemberOfAnEarlierTermConfirmsPrimaryButFollowsNot);
  CPPUNIT_TEST(MemberWithAnEmptyLogIsNoEvidence);
  CPPUNIT_TEST(EvidenceOlderThanRequiredDoesNotConfirmPrimary);
  CPPUNIT_TEST(FencedReplicaDoesNotConfirmUnreplicatedCommit);
  CPPUNIT_TEST(FourMembersNeedTwoReplicasToAcknowledge);
  CPPUNIT_TEST(MissingEntryDoesNotShrinkTheMajority);
  CPPUNIT_TEST(FrontierNeedsEvidenceRequestedNoEarlier);
  CPPUNIT_TEST(AnswerToARequestBeforeTheLeadIsNoFrontier);
  CPPUNIT_TEST(PrimaryWhosePositionFallsIsNoPrimary);
  CPPUNIT_TEST(LateAnswerWithALowerPositionKeepsThePrimary);
  CPPUNIT_TEST(FrontierIsCompleteUpToTheOldestReportOfTheMajority);
  CPPUNIT_TEST(ReplicaThatReceivesNothingDoesNotConfirmPrimaryAlone);
  CPPUNIT_TEST(BothReplicasConfirmPrimaryThatWasNotAsked);
  CPPUNIT_TEST(FourMembersNeedThreeReportsToConfirmPrimary);
  CPPUNIT_TEST(PrimaryRefusedAWriteItsEarlierEvidenceIsVoid);
  CPPUNIT_TEST(WriteOfALaterTermShowsThatThePrimaryWasReplaced);
  CPPUNIT_TEST(DatabaseRestartedStatusIsDiscarded);
  CPPUNIT_TEST(AnswerOfAnyKindClearsOutstandingRequests);
  CPPUNIT_TEST(NewMemberVotesOnceItHasBeenListedLongEnough);
  CPPUNIT_TEST(MemberListedAgainStillVotes);
  CPPUNIT_TEST(MembersSwappedMajorityIntersectsThoseOfTheFormerList);
  CPPUNIT_TEST(MembersSwappedFormerListIsForgotten);
  CPPUNIT_TEST(MemberRemovedFencesIntersectMajoritiesOfTheFormerList);
  CPPUNIT_TEST(FencedReplicasCanNotMakeAMajority);
  CPPUNIT_TEST_SUITE_END();

  const Instant mStart{ 1h };
  const GroupPrimary mPrimary{ "a", 1 };
  GroupView mView;

  static std::vector<GroupMember> Members(const std::string& aNames)
  {
    std::vector<GroupMember> members;
    for (const char it : aNames) {
      GroupMember member;
      member.mName = it;
      members.push_back(member);
    }
    return members;
  }

  void See(const std::string& aName,
           Role aRole,
           uint64_t aTerm,
           LogPosition aReceived,
           Milliseconds aAt = 0ms,
           uint64_t aFencedTerm = 0)
  {
    ReplicationStatus status;
    status.mUpstream = aName;
    status.mRole = aRole;
    status.mTerm = aTerm;
    status.mReceived = aReceived;
    status.mFencedTerm = aFencedTerm;
    status.mRequestedAt = mStart + aAt;
    mView.ObserveStatus(status, mStart + aAt);
  }

public:
  void setUp() override
  {
    mView = GroupView();
    mView.SetMembers(Members("abc"), mStart);
    See("a", Role::Primary, 1, { 1, 10 });
    See("b", Role::Replica, 1, { 1, 10 });
    See("c", Role::Replica, 1, { 1, 9 });
  }

  /// A replica that receives nothing while its primary is replaced stays in the
  /// earlier term: it acknowledges nothing for a later primary either.
  void MemberOfAnEarlierTermConfirmsPrimaryButFollowsNot()
  {
    See("b", Role::Primary, 2, { 1, 10 }, 5ms);
    See("c", Role::Replica, 1, { 1, 9 }, 5ms, 2);
    const GroupPrimary next{ "b", 2 };
    CPPUNIT_ASSERT(mView.IsPrimaryConfirmed(next, mStart + 5ms));
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(next, mStart + 6ms));
    CPPUNIT_ASSERT(!mView.IsPrimaryFollowed(next, mStart + 5ms));
    CPPUNIT_ASSERT(!mView.IsReplicated(next, { 1, 9 }));
  }

  /// A database that restarted without its log may have held an acknowledged
  /// write of a later term.
  void MemberWithAnEmptyLogIsNoEvidence()
  {
    mView = GroupView();
    mView.SetMembers(Members("abc"), mStart);
    See("b", Role::Primary, 2, { 1, 10 });
    See("c", Role::Replica, 0, { 0, 0 });
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed({ "b", 2 }, mStart));
  }

  void CommitReceivedByOneReplicaOfTwoIsReplicated()
  {
    CPPUNIT_ASSERT(mView.IsReplicated(mPrimary, { 1, 10 }));
    CPPUNIT_ASSERT(!mView.IsReplicated(mPrimary, { 1, 11 }));
  }

  /// Guards against acknowledging a write that committed at a replaced primary:
  /// after stepping down, that primary reports itself as a replica and must not
  /// count as a second copy. Found by random exploration.
  void PrimaryThatSteppedDownIsNoReplicaOfItself()
  {
    See("a", Role::Replica, 1, { 1, 11 }, 5ms);
    CPPUNIT_ASSERT(!mView.IsReplicated(mPrimary, { 1, 11 }));
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart + 1ms));
  }

  void ReplicaOfAnotherTermIsNoEvidence()
  {
    See("b", Role::Replica, 2, { 1, 11 }, 5ms);
    CPPUNIT_ASSERT(!mView.IsReplicated(mPrimary, { 1, 11 }));
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart));
    CPPUNIT_ASSERT(!mView.Primary());
  }

  void EvidenceOlderThanRequiredDoesNotConfirmPrimary()
  {
    CPPUNIT_ASSERT(mView.IsPrimaryConfirmed(mPrimary, mStart));
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart + 1ms));
  }

  void FencedReplicaDoesNotConfirmUnreplicatedCommit()
  {
    See("b", Role::Replica, 1, { 1, 10 }, 5ms);
    See("c", Role::Replica, 1, { 1, 9 }, 5ms);
    CPPUNIT_ASSERT(mView.AreAllMembersFollowing(mPrimary, mStart + 5ms));
    See("c", Role::Replica, 1, { 1, 9 }, 6ms, 2);
    CPPUNIT_ASSERT(!mView.AreAllMembersFollowing(mPrimary, mStart + 5ms));
  }

  void FourMembersNeedTwoReplicasToAcknowledge()
  {
    mView.SetMembers(Members("abcd"), mStart);
    mView.UpdateVoters(mStart + GroupView::kVotingDelay);
    CPPUNIT_ASSERT(!mView.IsReplicated(mPrimary, { 1, 10 }));
    See("d", Role::Replica, 1, { 1, 10 });
    CPPUNIT_ASSERT(mView.IsReplicated(mPrimary, { 1, 10 }));
  }

  void MissingEntryDoesNotShrinkTheMajority()
  {
    mView.SetMembers(Members("a"), mStart);
    CPPUNIT_ASSERT(!mView.IsReplicated(mPrimary, { 1, 10 }));
    CPPUNIT_ASSERT(!mView.AreAllMembersFollowing(mPrimary, mStart));
  }

  /// An answer of the primary has its position, but does not show that it
  /// leads.
  void FrontierNeedsEvidenceRequestedNoEarlier()
  {
    mView.ObservePosition("a", { 1, 20 }, mStart + 10ms, mStart + 12ms);
    CPPUNIT_ASSERT(!mView.Frontiers().AtOrAfter(mStart + 5ms));
    See("b", Role::Replica, 1, { 1, 12 }, 10ms);
    CPPUNIT_ASSERT(!mView.Frontiers().AtOrAfter(mStart + 5ms));
    mView.ObserveLeading("a", mStart + 10ms);
    const auto frontier = mView.Frontiers().AtOrAfter(mStart + 5ms);
    CPPUNIT_ASSERT(frontier && frontier->mPosition == LogPosition(1, 20));
  }

  /// Guards against frontiers from the position of a replica: the request was
  /// sent before it was promoted, and its answer arrives after the one that
  /// shows the lead.
  void AnswerToARequestBeforeTheLeadIsNoFrontier()
  {
    See("b", Role::Primary, 2, { 1, 12 }, 10ms);
    See("c", Role::Replica, 2, { 1, 12 }, 10ms);
    mView.ObservePosition("b", { 1, 5 }, mStart + 8ms, mStart + 12ms);
    See("b", Role::Primary, 2, { 1, 12 }, 20ms);
    See("c", Role::Replica, 2, { 1, 12 }, 20ms);
    const auto frontier = mView.Frontiers().AtOrAfter(mStart + 6ms);
    CPPUNIT_ASSERT(frontier && frontier->mPosition == LogPosition(1, 12));
  }

  /// A database that started again without its log, which the directory does
  /// not show yet. What it states is no frontier.
  void PrimaryWhosePositionFallsIsNoPrimary()
  {
    mView.ObservePosition("a", { 1, 10 }, mStart + 5ms, mStart + 7ms);
    mView.ObservePosition("a", { 0, 0 }, mStart + 10ms, mStart + 12ms);
    CPPUNIT_ASSERT(!mView.Primary());
    See("b", Role::Replica, 1, { 1, 12 }, 20ms);
    See("c", Role::Replica, 1, { 1, 12 }, 20ms);
    const auto frontier = mView.Frontiers().AtOrAfter(mStart);
    CPPUNIT_ASSERT(!frontier || frontier->mPosition >= LogPosition(1, 10));
  }

  void LateAnswerWithALowerPositionKeepsThePrimary()
  {
    mView.ObservePosition("a", { 1, 20 }, mStart + 10ms, mStart + 12ms);
    mView.ObservePosition("a", { 1, 15 }, mStart + 11ms, mStart + 13ms);
    CPPUNIT_ASSERT(mView.Primary() == mPrimary);
  }

  void FrontierIsCompleteUpToTheOldestReportOfTheMajority()
  {
    See("b", Role::Replica, 1, { 1, 12 }, 10ms);
    See("a", Role::Primary, 1, { 1, 20 }, 12ms);
    const auto frontier = mView.Frontiers().AtOrAfter(mStart + 5ms);
    CPPUNIT_ASSERT(frontier && frontier->mPosition == LogPosition(1, 20));
    CPPUNIT_ASSERT(frontier->mCompleteUntil == mStart + 10ms);
  }

  /// Guards against stale reads at a primary that was replaced: it follows the
  /// next primary and counts to the majority of its writes, while a replica
  /// that receives nothing stays in the term.
  void ReplicaThatReceivesNothingDoesNotConfirmPrimaryAlone()
  {
    See("c", Role::Replica, 1, { 1, 9 }, 10ms);
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart + 5ms));
    CPPUNIT_ASSERT(mView.IsPrimaryConfirmedByOthers(mPrimary, mStart + 5ms));
    mView.ObservePosition("a", { 1, 10 }, mStart + 11ms, mStart + 12ms);
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart + 5ms));
    See("a", Role::Primary, 1, { 1, 10 }, 12ms);
    CPPUNIT_ASSERT(mView.IsPrimaryConfirmed(mPrimary, mStart + 10ms));
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart + 11ms));
  }

  void BothReplicasConfirmPrimaryThatWasNotAsked()
  {
    See("b", Role::Replica, 1, { 1, 12 }, 10ms);
    See("c", Role::Replica, 1, { 1, 12 }, 11ms);
    CPPUNIT_ASSERT(mView.IsPrimaryConfirmed(mPrimary, mStart + 10ms));
  }

  /// During a replacement the group has a member more for a while. Other
  /// instances may know it already, or not yet.
  void FourMembersNeedThreeReportsToConfirmPrimary()
  {
    mView.SetMembers(Members("abcd"), mStart);
    mView.UpdateVoters(mStart + GroupView::kVotingDelay);
    See("a", Role::Primary, 1, { 1, 10 }, 10ms);
    See("c", Role::Replica, 1, { 1, 9 }, 10ms);
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart + 10ms));
    See("d", Role::Replica, 1, { 1, 10 }, 10ms);
    CPPUNIT_ASSERT(mView.IsPrimaryConfirmed(mPrimary, mStart + 10ms));
  }

  /// Guards against evidence of a primary that lost the lead in between.
  void PrimaryRefusedAWriteItsEarlierEvidenceIsVoid()
  {
    See("a", Role::Primary, 1, { 1, 10 }, 10ms);
    See("c", Role::Replica, 1, { 1, 9 }, 10ms);
    CPPUNIT_ASSERT(mView.IsPrimaryConfirmed(mPrimary, mStart + 10ms));
    mView.ObserveNotPrimary("a");
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart + 10ms));
  }

  void WriteOfALaterTermShowsThatThePrimaryWasReplaced()
  {
    mView.ObserveTerm(1);
    CPPUNIT_ASSERT(mView.Primary() == mPrimary);
    mView.ObserveTerm(2);
    CPPUNIT_ASSERT(!mView.Primary());
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart));
    See("a", Role::Primary, 1, { 1, 12 }, 5ms);
    CPPUNIT_ASSERT(!mView.Primary());
    See("b", Role::Primary, 2, { 2, 11 }, 6ms);
    CPPUNIT_ASSERT(mView.Primary() == GroupPrimary({ "b", 2 }));
  }

  void DatabaseRestartedStatusIsDiscarded()
  {
    auto members = Members("abc");
    members[1].mStartedMs = 5;
    mView.SetMembers(members, mStart);
    CPPUNIT_ASSERT(!mView.StatusOf("b"));
    CPPUNIT_ASSERT(!mView.IsReplicated(mPrimary, { 1, 10 }));
  }

  void AnswerOfAnyKindClearsOutstandingRequests()
  {
    mView.ObserveRequestSent("a", mStart + 10ms);
    mView.ObserveRequestSent("a", mStart + 20ms);
    CPPUNIT_ASSERT(mView.UnansweredSince("a") == mStart + 10ms);
    mView.ObserveContact("a", mStart + 30ms);
    CPPUNIT_ASSERT(!mView.UnansweredSince("a"));
  }

  void NewMemberVotesOnceItHasBeenListedLongEnough()
  {
    mView.SetMembers(Members("abcd"), mStart);
    CPPUNIT_ASSERT(!mView.IsVoter("d"));
    CPPUNIT_ASSERT(mView.IsReplicated(mPrimary, { 1, 10 }));
    See("d", Role::Replica, 1, { 1, 12 });
    CPPUNIT_ASSERT(!mView.IsReplicated(mPrimary, { 1, 11 }));
    mView.UpdateVoters(mStart + GroupView::kVotingDelay);
    CPPUNIT_ASSERT(mView.IsVoter("d"));
    CPPUNIT_ASSERT(mView.IsReplicated(mPrimary, { 1, 10 }));
    CPPUNIT_ASSERT(!mView.IsReplicated(mPrimary, { 1, 11 }));
  }

  /// A store that returns from an outage lists its entries gradually.
  void MemberListedAgainStillVotes()
  {
    mView.SetMembers(Members("ab"), mStart + 1s);
    CPPUNIT_ASSERT(!mView.IsVoter("c"));
    mView.SetMembers(Members("abc"), mStart + 3s);
    CPPUNIT_ASSERT(mView.IsVoter("c"));
  }

  /// Replaces b by d, so that two majorities of {a, b, c} and {a, c, d} need
  /// not intersect: {a, b} or {b, c}, and {a, d} or {c, d}.
  void SwapMembers()
  {
    mView.SetMembers(Members("abcd"), mStart);
    mView.SetMembers(Members("acd"), mStart + GroupView::kVotingDelay);
    See("d", Role::Replica, 1, { 1, 10 }, 5000ms);
  }

  /// Guards against a read of one instance and a write of another that share no
  /// database.
  void MembersSwappedMajorityIntersectsThoseOfTheFormerList()
  {
    SwapMembers();
    CPPUNIT_ASSERT(!mView.IsMajority({ "c", "d" }));
    CPPUNIT_ASSERT(!mView.IsMajority({ "a", "d" }));
    CPPUNIT_ASSERT(mView.IsMajority({ "a", "c" }));
    CPPUNIT_ASSERT(!mView.IsReplicated(mPrimary, { 1, 10 }));
    See("a", Role::Primary, 1, { 1, 10 }, 5000ms);
    CPPUNIT_ASSERT(!mView.IsPrimaryConfirmed(mPrimary, mStart + 5s));
    See("c", Role::Replica, 1, { 1, 10 }, 5001ms);
    CPPUNIT_ASSERT(mView.IsReplicated(mPrimary, { 1, 10 }));
    CPPUNIT_ASSERT(mView.IsPrimaryConfirmed(mPrimary, mStart + 5s));
  }

  void MembersSwappedFormerListIsForgotten()
  {
    SwapMembers();
    CPPUNIT_ASSERT(mView.HasFormerLists());
    mView.UpdateVoters(mStart + GroupView::kVotingDelay +
                       GroupView::kListRetention);
    CPPUNIT_ASSERT(!mView.HasFormerLists());
    CPPUNIT_ASSERT(mView.IsMajority({ "a", "d" }));
  }

  void MemberRemovedFencesIntersectMajoritiesOfTheFormerList()
  {
    CPPUNIT_ASSERT(mView.IntersectsMajorities({ "b", "c" }));
    CPPUNIT_ASSERT(!mView.IntersectsMajorities({ "b" }));
    mView.SetMembers(Members("ab"), mStart + 1s);
    CPPUNIT_ASSERT(!mView.IntersectsMajorities({ "b" }));
    mView.UpdateVoters(mStart + 1s + GroupView::kListRetention);
    CPPUNIT_ASSERT(mView.IntersectsMajorities({ "b" }));
  }

  void FencedReplicasCanNotMakeAMajority()
  {
    CPPUNIT_ASSERT(mView.IsPrimaryFollowed(mPrimary, mStart));
    See("b", Role::Replica, 1, { 1, 10 }, 5ms, 2);
    CPPUNIT_ASSERT(mView.IsPrimaryFollowed(mPrimary, mStart));
    See("c", Role::Replica, 1, { 1, 10 }, 5ms, 2);
    CPPUNIT_ASSERT(!mView.IsPrimaryFollowed(mPrimary, mStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestGroupView);
