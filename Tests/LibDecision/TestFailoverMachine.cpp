#include "LibDecision/FailoverMachine.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestFailoverMachine : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestFailoverMachine);
  CPPUNIT_TEST(PrimaryUnresponsivePeersHealthyNoFence);
  CPPUNIT_TEST(PrimaryUnresponsivePeersAgreeMostAdvancedIsPromoted);
  CPPUNIT_TEST(OneOfThreeLeftNothingIsPromoted);
  CPPUNIT_TEST(HigherTermSeenWaitsForOtherHolder);
  CPPUNIT_TEST(ReplicationStalledIsSuspected);
  CPPUNIT_TEST(OldPrimaryReturnsIsFencedAndFollows);
  CPPUNIT_TEST(LeavingPrimaryIsQuiescedFirst);
  CPPUNIT_TEST(InstanceNotCoordinatorOnlyMonitors);
  CPPUNIT_TEST_SUITE_END();

  Instant mNow;
  std::optional<FailoverMachine> mMachine;

  static FailoverIdentity Identity()
  {
    FailoverIdentity identity;
    identity.mGroup = "g";
    identity.mInstance = "i";
    identity.mCoordinatorIndex = 0;
    identity.mUpstreams = { "a", "b", "c" };
    identity.mPeerCount = 2;
    return identity;
  }

  UpstreamReport Report(const char* aName,
                        Role aRole,
                        LogPosition aLast,
                        uint64_t aTerm = 1) const
  {
    UpstreamReport report;
    report.mUpstream = aName;
    report.mFencedTerm = aTerm;
    report.mAttempt = "t" + std::to_string(aTerm);
    report.mRole = aRole;
    report.mLast = aLast;
    report.mFollows = aRole == Role::Replica ? "a" : "";
    report.mRequestedAt = mNow;
    return report;
  }

  void See(const UpstreamReport& aReport)
  {
    mMachine->Handle(UpstreamReported{ aReport }, mNow);
  }

  void SeeReplicas()
  {
    See(Report("b", Role::Replica, { 1, 8 }));
    See(Report("c", Role::Replica, { 1, 9 }));
  }

  /// Ticks for aTime while the replicas report, and returns the commands.
  std::vector<SendCommand> Pass(Duration aTime)
  {
    std::vector<SendCommand> commands;
    for (const auto end = mNow + aTime; mNow < end; mNow += 10ms) {
      SeeReplicas();
      for (const auto& it : mMachine->Handle(Tick{}, mNow)) {
        if (const auto* command = std::get_if<SendCommand>(&it)) {
          commands.push_back(*command);
        }
      }
    }
    return commands;
  }

  FailoverActions Grant(const SendCommand& aCommand, LogPosition aLast)
  {
    auto report =
      Report(aCommand.mUpstream.c_str(), Role::Fenced, aLast, aCommand.mTerm);
    report.mAttempt = aCommand.mAttempt;
    return mMachine->Handle(CommandAnswered{ aCommand.mUpstream,
                                             aCommand.mKind,
                                             aCommand.mTerm,
                                             aCommand.mAttempt,
                                             true,
                                             report },
                            mNow);
  }

  static long Fences(const std::vector<SendCommand>& aCommands)
  {
    return std::ranges::count(
      aCommands, CommandKind::Fence, &SendCommand::mKind);
  }

public:
  void setUp() override
  {
    mNow = Instant() + 100s;
    mMachine.emplace(Identity());
    See(Report("a", Role::Primary, { 1, 9 }));
    SeeReplicas();
  }

  void PrimaryUnresponsivePeersHealthyNoFence()
  {
    auto commands = Pass(520ms);
    mMachine->Handle(PeerViewReceived{ { 1, "a", true } }, mNow);
    mMachine->Handle(PeerViewReceived{ { 1, "a", true } }, mNow);
    commands = Pass(100ms);
    CPPUNIT_ASSERT_EQUAL(0L, Fences(commands));
  }

  void PrimaryUnresponsivePeersAgreeMostAdvancedIsPromoted()
  {
    const auto commands = Pass(700ms);
    CPPUNIT_ASSERT_EQUAL(3L, Fences(commands));
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), commands.front().mTerm);
    Grant({ "b", CommandKind::Fence, 3, commands.front().mAttempt, {} },
          { 1, 8 });
    Grant({ "c", CommandKind::Fence, 3, commands.front().mAttempt, {} },
          { 1, 9 });
    mNow += 50ms;
    const auto actions = mMachine->Handle(Tick{}, mNow);
    const bool promotesC = std::ranges::any_of(actions, [](const auto& it) {
      const auto* command = std::get_if<SendCommand>(&it);
      return command && command->mKind == CommandKind::Promote &&
             command->mUpstream == "c";
    });
    CPPUNIT_ASSERT(promotesC);
  }

  void OneOfThreeLeftNothingIsPromoted()
  {
    auto commands = Pass(700ms);
    Grant({ "c", CommandKind::Fence, 3, commands.front().mAttempt, {} },
          { 1, 9 });
    commands = Pass(5s);
    CPPUNIT_ASSERT_EQUAL(
      0L,
      static_cast<long>(std::ranges::count(
        commands, CommandKind::Promote, &SendCommand::mKind)));
  }

  void HigherTermSeenWaitsForOtherHolder()
  {
    Pass(450ms);
    See(Report("b", Role::Fenced, { 1, 8 }, 4));
    std::vector<SendCommand> commands;
    for (const auto end = mNow + 600ms; mNow < end; mNow += 10ms) {
      for (const auto& it : mMachine->Handle(Tick{}, mNow)) {
        if (const auto* command = std::get_if<SendCommand>(&it)) {
          commands.push_back(*command);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(0L, Fences(commands));
  }

  void ReplicationStalledIsSuspected()
  {
    for (int it = 0; it < 100; ++it, mNow += 10ms) {
      See(Report("a", Role::Primary, { 1, 20 }));
      SeeReplicas();
    }
    CPPUNIT_ASSERT(!mMachine->View(mNow).mIsHealthy);
  }

  void OldPrimaryReturnsIsFencedAndFollows()
  {
    See(Report("b", Role::Primary, { 3, 10 }, 3));
    mNow += 300ms;
    See(Report("b", Role::Primary, { 3, 10 }, 3));
    See(Report("a", Role::Primary, { 1, 9 }, 1));
    auto actions = mMachine->Handle(Tick{}, mNow);
    const SendCommand fence{ "a", CommandKind::Fence, 3, "t3", {} };
    CPPUNIT_ASSERT(std::ranges::any_of(actions, [&](const auto& it) {
      const auto* command = std::get_if<SendCommand>(&it);
      return command && *command == fence;
    }));
    mNow += 300ms;
    See(Report("b", Role::Primary, { 3, 10 }, 3));
    See(Report("a", Role::Fenced, { 1, 9 }, 3));
    actions = mMachine->Handle(Tick{}, mNow);
    const SendCommand follow{ "a", CommandKind::Follow, 3, "t3", "b" };
    CPPUNIT_ASSERT(std::ranges::any_of(actions, [&](const auto& it) {
      const auto* command = std::get_if<SendCommand>(&it);
      return command && *command == follow;
    }));
  }

  void LeavingPrimaryIsQuiescedFirst()
  {
    auto identity = Identity();
    identity.mLeaving = { "a" };
    mMachine->SetIdentity(identity);
    const auto actions = mMachine->Handle(Tick{}, mNow);
    CPPUNIT_ASSERT(std::ranges::any_of(actions, [](const auto& it) {
      const auto* command = std::get_if<SendCommand>(&it);
      return command && command->mKind == CommandKind::Quiesce;
    }));
  }

  void InstanceNotCoordinatorOnlyMonitors()
  {
    auto identity = Identity();
    identity.mCoordinatorIndex.reset();
    mMachine->SetIdentity(identity);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Pass(3s).size());
    CPPUNIT_ASSERT(!mMachine->View(mNow).mIsHealthy);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFailoverMachine);
