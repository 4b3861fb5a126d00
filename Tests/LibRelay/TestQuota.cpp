#include "FakeUpstreams.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// What a group does with the operations that the quota of an account admits,
/// refuses, or decides on later.
class TestQuota : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestQuota);
  CPPUNIT_TEST(OperationBeyondTheQuotaIsRefusedAtOnceAndNeverRuns);
  CPPUNIT_TEST(OperationThatWaitsForItsAdmissionRunsOnceAdmitted);
  CPPUNIT_TEST(TransactionCountsOnce);
  CPPUNIT_TEST(StatementWithoutAccountIsNotLimited);
  CPPUNIT_TEST(OperationThatNoDatabaseReceivedIsGivenBack);
  CPPUNIT_TEST(AdmissionThatExpiresIsGivenBackAndRenewed);
  CPPUNIT_TEST(OperationThatTheDatabaseRefusedToRunCountsOnce);
  CPPUNIT_TEST(CallerGoneWhileItWaitsAdmissionIsGivenBack);
  CPPUNIT_TEST(GroupGoneWhileAnOperationWaitsAdmissionIsGivenBack);
  CPPUNIT_TEST_SUITE_END();

  class FakeGate : public QuotaGate
  {
  public:
    void Admit(const std::string& aAccount, Handler aHandler) override
    {
      ++mAsked;
      mAccount = aAccount;
      if (mIsHolding) {
        mHeld.push_back(std::move(aHandler));
      } else {
        aHandler(mVerdict);
      }
    }
    void Return(const std::string&) override { ++mReturned; }
    Duration Validity() const override { return 100ms; }
    void Release()
    {
      for (const auto& it : std::exchange(mHeld, {})) {
        it(mVerdict);
      }
    }

    QuotaVerdict mVerdict = QuotaVerdict::Admitted;
    bool mIsHolding = false;
    std::vector<Handler> mHeld;
    std::string mAccount;
    size_t mAsked = 0;
    size_t mReturned = 0;
  };

  FakeGate mGate;
  std::unique_ptr<FakeUpstreams> mFake;
  std::unique_ptr<FakeUpstreams::Caller> mCaller;

  size_t Runs()
  {
    return mFake->At("a").mRan.size() + mFake->At("b").mRan.size() +
           mFake->At("c").mRan.size();
  }

public:
  void setUp() override
  {
    mGate = {};
    mFake = std::make_unique<FakeUpstreams>(Acknowledgement::Majority, &mGate);
    ClientAccount account;
    account.mName = "account";
    account.mKeys = { "key" };
    mFake->SetAccounts({ account });
    mCaller = mFake->Connect("db", "key");
  }
  void tearDown() override
  {
    mCaller.reset();
    mFake.reset();
  }

  void OperationBeyondTheQuotaIsRefusedAtOnceAndNeverRuns()
  {
    mGate.mVerdict = QuotaVerdict::Exceeded;
    mCaller->Send("READ 1");
    CPPUNIT_ASSERT(mCaller->LastError() == ErrorKind::QuotaExceeded);
    CPPUNIT_ASSERT_EQUAL(std::string("account"), mGate.mAccount);
    mFake->Run(100ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Runs());
    CPPUNIT_ASSERT(mFake->Group().IsIdle());
  }

  void OperationThatWaitsForItsAdmissionRunsOnceAdmitted()
  {
    mGate.mIsHolding = true;
    mCaller->Send("READ 1");
    mFake->Run(60ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Runs());
    mGate.Release();
    mFake->Run(60ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Runs());
    CPPUNIT_ASSERT(!mCaller->LastError());
  }

  void TransactionCountsOnce()
  {
    for (const auto* it : { "BEGIN", "WRITE 1 x", "WRITE 2 x", "COMMIT" }) {
      mCaller->Send(it);
      mFake->Run(100ms);
      CPPUNIT_ASSERT(!mCaller->LastError());
    }
    CPPUNIT_ASSERT_EQUAL(size_t(1), mGate.mAsked);
    CPPUNIT_ASSERT_EQUAL(size_t(0), mGate.mReturned);
  }

  void StatementWithoutAccountIsNotLimited()
  {
    RelayRoute route;
    route.mDatabase = "db";
    route.mGroup = "g";
    route.mIsPublic = true;
    mFake->SetRoute(route);
    mGate.mVerdict = QuotaVerdict::Exceeded;
    const auto caller = mFake->Connect();
    caller->Send("READ 1");
    mFake->Run(60ms);
    CPPUNIT_ASSERT(!caller->LastError());
    CPPUNIT_ASSERT_EQUAL(size_t(0), mGate.mAsked);
  }

  void OperationThatNoDatabaseReceivedIsGivenBack()
  {
    for (const auto* it : { "a", "b", "c" }) {
      mFake->At(it).mIsReachable = false;
      mFake->ResetConnections(it);
    }
    mCaller->Send("WRITE 1 x");
    mFake->Run(3s);
    CPPUNIT_ASSERT(mCaller->LastError().has_value());
    CPPUNIT_ASSERT_EQUAL(size_t(0), Runs());
    CPPUNIT_ASSERT_EQUAL(mGate.mAsked, mGate.mReturned);
  }

  /// The operation waits for the next primary for longer than its admission is
  /// valid.
  void AdmissionThatExpiresIsGivenBackAndRenewed()
  {
    RelayRoute route;
    route.mDatabase = "db";
    route.mGroup = "g";
    route.mTimeout = 8s;
    route.mTargetLatency = 8s;
    mFake->SetRoute(route);
    mCaller = mFake->Connect("db", "key");
    mFake->At("a").mIsReachable = false;
    mFake->ResetConnections("a");
    mCaller->Send("WRITE 1 x");
    mFake->Run(200ms);
    CPPUNIT_ASSERT(!mCaller->IsAnswered());
    CPPUNIT_ASSERT_EQUAL(size_t(1), mGate.mReturned);
    mFake->Run(7s);
    CPPUNIT_ASSERT(mCaller->IsAnswered());
    CPPUNIT_ASSERT(!mCaller->LastError());
    CPPUNIT_ASSERT(mGate.mAsked >= 2);
    CPPUNIT_ASSERT_EQUAL(mGate.mAsked, mGate.mReturned + 1);
  }

  void OperationThatTheDatabaseRefusedToRunCountsOnce()
  {
    mFake->At("a").mRefusal = ErrorKind::QueueFull;
    mFake->At("a").mRefusals = 2;
    mCaller->Send("WRITE 1 x");
    mFake->Run(300ms);
    CPPUNIT_ASSERT(!mCaller->LastError());
    CPPUNIT_ASSERT_EQUAL(size_t(1), mGate.mAsked);
  }

  void CallerGoneWhileItWaitsAdmissionIsGivenBack()
  {
    mGate.mIsHolding = true;
    mCaller->Send("READ 1");
    mCaller.reset();
    CPPUNIT_ASSERT(mFake->Group().IsIdle());
    mGate.Release();
    mFake->Run(60ms);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Runs());
    CPPUNIT_ASSERT_EQUAL(size_t(1), mGate.mReturned);
  }

  void GroupGoneWhileAnOperationWaitsAdmissionIsGivenBack()
  {
    mGate.mIsHolding = true;
    mCaller->Send("READ 1");
    mCaller.reset();
    mFake.reset();
    mGate.Release();
    CPPUNIT_ASSERT_EQUAL(size_t(1), mGate.mReturned);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestQuota);
