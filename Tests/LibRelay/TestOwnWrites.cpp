#include "FakeUpstreams.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Reads that must include a write of their session that another instance
/// acknowledged, of which this instance knows the position only.
class TestOwnWrites : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestOwnWrites);
  CPPUNIT_TEST(ReadAfterAWriteOfALaterTermDoesNotRunAtTheReplacedPrimary);
  CPPUNIT_TEST(ReadAfterAWriteOfALaterTermIsServedAtOnce);
  CPPUNIT_TEST(ReadInATransactionIsServedOnceAReplicaFollows);
  CPPUNIT_TEST(HedgedReadAfterAWriteOfALaterTermAvoidsTheReplacedPrimary);
  CPPUNIT_TEST(WriteAfterAWriteOfALaterTermIsNotSentToTheReplacedPrimary);
  CPPUNIT_TEST(ReadAtPrimaryThatLostItsLogIsRefusedThere);
  CPPUNIT_TEST(ReadAfterARolledBackWriteIsServed);
  CPPUNIT_TEST(WriteInAnotherGroupIsNotRequired);
  CPPUNIT_TEST_SUITE_END();

  using Answers = std::vector<StatementAnswer>;

  static constexpr std::array kModes = { TransactionMode::None,
                                         TransactionMode::ReadOnly,
                                         TransactionMode::ReadWrite };

  std::unique_ptr<FakeUpstreams> mFake;
  Answers mAnswers;

  /// Submits a statement of a session whose last write is at aLastWrite, as
  /// another instance forwards it.
  void Submit(const std::string& aText,
              LogPosition aLastWrite,
              TransactionMode aMode = TransactionMode::None,
              const std::string& aGroup = "g")
  {
    auto session = std::make_shared<SessionState>();
    session->RecordWrite(aGroup, aLastWrite);
    RelayRequest request;
    request.mStatement.mId = "r" + std::to_string(mAnswers.size());
    request.mStatement.mText = aText;
    request.mSession = session;
    request.mRoute.mDatabase = "db";
    request.mRoute.mGroup = "g";
    request.mRoute.mFreshness = Freshness::ReadYourWrites;
    request.mRoute.mMaxAge = 1500ms;
    request.mMode = aMode;
    if (aText.starts_with("WRITE")) {
      request.mStatement.mType = StatementType::Write;
      request.mAccess = Access::Write;
    }
    request.mStartedAt = request.mReceivedAt = mFake->Now();
    mFake->Group().Submit(request, [this](const RelayOutcome& aOutcome) {
      mAnswers.push_back(aOutcome.mAnswer);
      if (aOutcome.mTransaction) {
        mFake->Group().RollBack(aOutcome.mTransaction);
      }
    });
  }

  /// Another instance replaces the primary "a" by "b" and writes there. "a"
  /// keeps its log, and its role until another command tells it.
  void ReplacePrimaryUnnoticed()
  {
    mFake->Promote("b");
    auto& next = mFake->At("b");
    next.mReceived = next.mApplied = { 2, 11 };
    mFake->Run(2ms);
  }

public:
  void setUp() override
  {
    mFake = std::make_unique<FakeUpstreams>();
    mAnswers.clear();
  }
  void tearDown() override { mFake.reset(); }

  /// Guards against a read, single or in a transaction, at a replaced primary
  /// that lacks the session's write, acknowledged by another instance.
  void ReadAfterAWriteOfALaterTermDoesNotRunAtTheReplacedPrimary()
  {
    for (const auto role : { Role::Primary, Role::Replica }) {
      for (const auto mode : kModes) {
        setUp();
        ReplacePrimaryUnnoticed();
        mFake->At("a").mRole = role;
        mFake->At("a").mIsApplying = false;
        Submit("READ 1", { 2, 11 }, mode);
        mFake->Run(300ms);
        CPPUNIT_ASSERT(mFake->At("a").mRan.empty());
        CPPUNIT_ASSERT_EQUAL(size_t(1), mAnswers.size());
        CPPUNIT_ASSERT(!mAnswers.front().mError);
      }
    }
  }

  /// The statuses that name the next primary are requested at once, not at the
  /// next probe.
  void ReadAfterAWriteOfALaterTermIsServedAtOnce()
  {
    mFake->Run(2s);
    ReplacePrimaryUnnoticed();
    Submit("READ 1", { 2, 11 }, TransactionMode::ReadWrite);
    mFake->Run(40ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mAnswers.size());
    CPPUNIT_ASSERT(!mAnswers.front().mError);
  }

  /// The replica reports the earlier term first. It joins the next one right
  /// after, which a transaction that may write waits for.
  void ReadInATransactionIsServedOnceAReplicaFollows()
  {
    mFake->Promote("b");
    mFake->At("b").mReceived = mFake->At("b").mApplied = { 2, 11 };
    Submit("READ 1", { 2, 11 }, TransactionMode::ReadWrite);
    mFake->Run(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mAnswers.size());
    CPPUNIT_ASSERT(!mAnswers.front().mError);
  }

  void HedgedReadAfterAWriteOfALaterTermAvoidsTheReplacedPrimary()
  {
    Submit("READ 1", { 1, 10 });
    mFake->Run(30ms);
    ReplacePrimaryUnnoticed();
    mFake->At("a").mRole = Role::Replica;
    mFake->At("a").mIsApplying = false;
    for (const auto* it : { "b", "c" }) {
      mFake->At(it).mLosesAnswers = true;
    }
    Submit("READ 2", { 2, 11 });
    mFake->Run(800ms);
    CPPUNIT_ASSERT(std::ranges::none_of(
      mFake->At("a").mRan, [](const auto& it) { return it.ends_with("2"); }));
  }

  /// A write that a replaced primary commits can't be acknowledged.
  void WriteAfterAWriteOfALaterTermIsNotSentToTheReplacedPrimary()
  {
    ReplacePrimaryUnnoticed();
    Submit("WRITE 1 x", { 2, 11 });
    mFake->Run(100ms);
    CPPUNIT_ASSERT(mFake->At("a").mRan.empty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), mAnswers.size());
    CPPUNIT_ASSERT(!mAnswers.front().mError);
  }

  /// Guards against a read at a database that started again without its log and
  /// that the directory still lists as before.
  void ReadAtPrimaryThatLostItsLogIsRefusedThere()
  {
    for (const auto mode : kModes) {
      setUp();
      for (const auto* it : { "b", "c" }) {
        mFake->At(it).mIsApplying = false;
      }
      mFake->At("a").mReceived = mFake->At("a").mApplied = { 1, 11 };
      mFake->Run(50ms);
      mFake->At("a").mIsReplicating = false;
      mFake->At("a").mReceived = mFake->At("a").mApplied = { 0, 0 };
      Submit("READ 1", { 1, 11 }, mode);
      mFake->Run(1200ms);
      CPPUNIT_ASSERT(mFake->At("a").mRan.empty());
      CPPUNIT_ASSERT_EQUAL(size_t(1), mAnswers.size());
      const auto& error = mAnswers.front().mError;
      CPPUNIT_ASSERT(error);
      CPPUNIT_ASSERT(AnswerFor(error->mKind).mOutcome == Outcome::NotRun);
    }
  }

  /// A write that a promotion rolled back is in no log; reads don't wait for
  /// it.
  void ReadAfterARolledBackWriteIsServed()
  {
    mFake->Promote("b");
    mFake->At("a").mRole = Role::Replica;
    mFake->Run(2s);
    for (const auto mode : kModes) {
      Submit("READ 1", { 1, 50 }, mode);
    }
    mFake->Run(100ms);
    CPPUNIT_ASSERT_EQUAL(kModes.size(), mAnswers.size());
    for (const auto& it : mAnswers) {
      CPPUNIT_ASSERT(!it.mError);
    }
  }

  /// Positions of another group tell nothing of this one, whose terms may be
  /// lower: its primary stays known.
  void WriteInAnotherGroupIsNotRequired()
  {
    const auto before = mFake->Group().View().Primary();
    Submit("READ 1", { 9, 900 }, TransactionMode::ReadWrite, "other");
    mFake->Run(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), mAnswers.size());
    CPPUNIT_ASSERT(!mAnswers.front().mError);
    CPPUNIT_ASSERT(mFake->Group().View().Primary() == before);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOwnWrites);
