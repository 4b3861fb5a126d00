#include "FakeUpstreams.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Databases whose answers to some commands state no log position.
class TestStatedPositions : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestStatedPositions);
  CPPUNIT_TEST(AnswerWithoutPositionMakesNoAgedReadStale);
  CPPUNIT_TEST(WriteWithoutPositionIsNotAcknowledgedUnreplicated);
  CPPUNIT_TEST(WriteWithoutPositionIsAcknowledgedAtThatOfAStatus);
  CPPUNIT_TEST(WriteWithoutPositionAtReplacedPrimaryHasUnknownOutcome);
  CPPUNIT_TEST(OwnReadAfterWriteWithoutPositionIncludesIt);
  CPPUNIT_TEST(DatabasesThatStateNoPositionAreServed);
  CPPUNIT_TEST(AgedReadWherePrimaryLostItsLogIsNotStale);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::array kTransactions = { false, true };

  std::unique_ptr<FakeUpstreams> mFake;

  void SetRoute(Freshness aFreshness)
  {
    RelayRoute route;
    route.mDatabase = "db";
    route.mGroup = "g";
    route.mFreshness = aFreshness;
    route.mMaxAge = 1500ms;
    mFake->SetRoute(route);
  }

  /// Writes "x", as a single statement or in a transaction.
  void Write(FakeUpstreams::Caller& aCaller, bool aIsTransaction)
  {
    if (aIsTransaction) {
      aCaller.Send("BEGIN");
    }
    aCaller.Send("WRITE 1 x");
    if (aIsTransaction) {
      mFake->Run(30ms);
      CPPUNIT_ASSERT(aCaller.IsAnswered());
      aCaller.Send("COMMIT");
    }
  }

public:
  void setUp() override
  {
    mFake = std::make_unique<FakeUpstreams>();
    mFake->At("a").mWithoutPosition = { CommandType::Forward };
  }
  void tearDown() override { mFake.reset(); }

  /// Guards against reads older than the allowed age: a position of the primary
  /// that was known before an answer without one does not hold at its time.
  void AnswerWithoutPositionMakesNoAgedReadStale()
  {
    mFake->At("a").mWithoutPosition = { CommandType::SetValue };
    SetRoute(Freshness::Latest);
    auto writer = mFake->Connect();
    writer->Send("READ 1");
    mFake->Run(20ms);
    // Another instance writes, and the replicas lag.
    for (const auto* it : { "b", "c" }) {
      mFake->At(it).mIsApplying = false;
    }
    mFake->At("a").mReceived = mFake->At("a").mApplied = { 1, 20 };
    mFake->Run(700ms);
    writer->Send("SET name value");
    writer->Send("WRITE 1 x");
    mFake->Run(1400ms);
    CPPUNIT_ASSERT(!writer->LastError());
    SetRoute(Freshness::BoundedStaleness);
    auto aged = mFake->Connect();
    aged->Send("READ 1");
    mFake->Run(100ms);
    CPPUNIT_ASSERT(aged->IsAnswered());
    CPPUNIT_ASSERT(!aged->LastError());
    CPPUNIT_ASSERT(aged->Last().mPosition >= LogPosition(1, 20));
  }

  /// Guards against losing an acknowledged write: without a position, the
  /// statuses of replicas don't show that they hold it.
  void WriteWithoutPositionIsNotAcknowledgedUnreplicated()
  {
    for (const bool isTransaction : kTransactions) {
      setUp();
      mFake->At("a").mIsReplicating = false;
      auto caller = mFake->Connect();
      Write(*caller, isTransaction);
      mFake->Run(1200ms);
      CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown);
    }
  }

  void WriteWithoutPositionIsAcknowledgedAtThatOfAStatus()
  {
    for (const bool isTransaction : kTransactions) {
      setUp();
      auto caller = mFake->Connect();
      Write(*caller, isTransaction);
      mFake->Run(100ms);
      CPPUNIT_ASSERT(caller->IsAnswered());
      CPPUNIT_ASSERT(!caller->LastError());
      CPPUNIT_ASSERT(caller->Last().mPosition == LogPosition(1, 11));
    }
  }

  void WriteWithoutPositionAtReplacedPrimaryHasUnknownOutcome()
  {
    mFake->Promote("b");
    mFake->At("b").mReceived = mFake->At("b").mApplied = { 2, 30 };
    auto caller = mFake->Connect();
    caller->Send("WRITE 1 x");
    mFake->Run(1200ms);
    CPPUNIT_ASSERT(caller->IsAnswered());
    CPPUNIT_ASSERT(caller->LastError() == ErrorKind::OutcomeUnknown ||
                   mFake->At("a").mRan.empty());
  }

  void OwnReadAfterWriteWithoutPositionIncludesIt()
  {
    for (const bool isTransaction : kTransactions) {
      setUp();
      SetRoute(Freshness::ReadYourWrites);
      for (const auto* it : { "b", "c" }) {
        mFake->At(it).mIsApplying = false;
      }
      auto caller = mFake->Connect();
      Write(*caller, isTransaction);
      mFake->Run(200ms);
      CPPUNIT_ASSERT(!caller->LastError());
      caller->Send("READ 1");
      mFake->Run(100ms);
      CPPUNIT_ASSERT(!caller->LastError());
      for (const auto* it : { "b", "c" }) {
        CPPUNIT_ASSERT(mFake->At(it).mRan.empty());
      }
    }
  }

  /// Statuses, which tell the end of the received log, suffice: reads run at
  /// the primary, since no replica states what it has applied.
  void DatabasesThatStateNoPositionAreServed()
  {
    for (const auto* it : { "a", "b", "c" }) {
      mFake->At(it).mWithoutPosition = { CommandType::Forward,
                                         CommandType::BeginReadOnly,
                                         CommandType::Begin,
                                         CommandType::Status };
    }
    for (const auto freshness : { Freshness::Latest,
                                  Freshness::BoundedStaleness,
                                  Freshness::ReadYourWrites }) {
      SetRoute(freshness);
      auto caller = mFake->Connect();
      for (const auto* text : { "WRITE 1 x",
                                "READ 1",
                                "BEGIN READ",
                                "READ 1",
                                "COMMIT",
                                "BEGIN",
                                "WRITE 1 y",
                                "COMMIT" }) {
        caller->Send(text);
        mFake->Run(300ms);
        CPPUNIT_ASSERT(caller->IsAnswered());
        CPPUNIT_ASSERT(!caller->LastError());
      }
    }
  }

  /// Guards against frontiers from a primary that started again without its
  /// log, which the directory does not show yet: replicas that lag would pass.
  void AgedReadWherePrimaryLostItsLogIsNotStale()
  {
    SetRoute(Freshness::Latest);
    mFake->At("a").mWithoutPosition.clear();
    for (const auto* it : { "b", "c" }) {
      mFake->At(it).mIsApplying = false;
    }
    mFake->At("a").mReceived = mFake->At("a").mApplied = { 1, 20 };
    auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(2s);
    mFake->mIsLeaseFree = false;
    auto& lost = mFake->At("a");
    lost.mIsReplicating = false;
    lost.mRole = Role::Replica;
    lost.mReceived = lost.mApplied = { 0, 0 };
    mFake->ResetConnections("a");
    mFake->Run(20ms);
    caller->Send("SET name value");
    caller->Send("READ 1");
    SetRoute(Freshness::BoundedStaleness);
    auto aged = mFake->Connect();
    mFake->Run(1450ms);
    aged->Send("READ 2");
    mFake->Run(100ms);
    for (const auto* it : { "b", "c" }) {
      CPPUNIT_ASSERT(mFake->At(it).mRan.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStatedPositions);
