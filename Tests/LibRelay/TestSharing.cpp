#include "FakeUpstreams.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Client accounts that compete for the slots of a group at one instance.
class TestSharing : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestSharing);
  CPPUNIT_TEST(SmallAccountGoesAheadOfALargeOnesQueue);
  CPPUNIT_TEST(WithoutAccountsStatementsRunInTheOrderOfArrival);
  CPPUNIT_TEST(FullQueueRefusesTheAccountWithTheMostWaiting);
  CPPUNIT_TEST(WithoutAccountsAFullQueueRefusesTheNewcomer);
  CPPUNIT_TEST(LoadIsToldOnlyWhereAccountsShareSlots);
  CPPUNIT_TEST_SUITE_END();

  using Caller = FakeUpstreams::Caller;

  std::unique_ptr<FakeUpstreams> mFake;
  std::vector<std::unique_ptr<Caller>> mCallers;

  static ClientAccount AccountOf(const std::string& aName)
  {
    ClientAccount account;
    account.mName = aName;
    account.mKeys = { "key-" + aName };
    return account;
  }

  void Start() { mFake->Run(1000ms); }

  Caller& Send(const std::string& aText, const std::string& aKey)
  {
    mCallers.push_back(mFake->Connect("db", aKey));
    mCallers.back()->Send(aText);
    return *mCallers.back();
  }

  void SetAccounts()
  {
    mFake->SetAccounts({ AccountOf("hot"), AccountOf("small") });
  }

  /// The place, among all that ran at the primary, of the last of 40 writes.
  ptrdiff_t PlaceOfTheLast()
  {
    Start();
    for (int it = 0; it < 40; ++it) {
      Send("WRITE 1 hot", "key-hot");
    }
    Send("WRITE 1 last", "key-small");
    mFake->Run(2000ms);
    const auto& ran = mFake->At("a").mRan;
    const auto place = std::ranges::find_if(
      ran, [](const auto& it) { return it.ends_with("last"); });
    CPPUNIT_ASSERT(place != ran.end());
    CPPUNIT_ASSERT(ran.size() > 30);
    return place - ran.begin();
  }

  /// Fills the queue with statements that can't start.
  void FillQueue()
  {
    Start();
    mFake->At("a").mIsReachable = false;
    for (size_t it = 0; it < RelayGroupSettings().mQueueLimit; ++it) {
      Send("WRITE 1 hot", "key-hot");
    }
  }

  size_t CountRefused() const
  {
    return std::ranges::count_if(mCallers, [](const auto& it) {
      return it->LastError() == ErrorKind::QueueFull;
    });
  }

public:
  void setUp() override { mFake = std::make_unique<FakeUpstreams>(); }
  void tearDown() override
  {
    mCallers.clear();
    mFake.reset();
  }

  void SmallAccountGoesAheadOfALargeOnesQueue()
  {
    SetAccounts();
    // Those of the first round, on as many connections as the limit allows.
    CPPUNIT_ASSERT(PlaceOfTheLast() <= 8);
  }

  void WithoutAccountsStatementsRunInTheOrderOfArrival()
  {
    CPPUNIT_ASSERT(PlaceOfTheLast() >= 32);
  }

  void FullQueueRefusesTheAccountWithTheMostWaiting()
  {
    SetAccounts();
    FillQueue();
    const auto& newcomer = Send("WRITE 1 small", "key-small");
    CPPUNIT_ASSERT(!newcomer.IsAnswered());
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountRefused());
    CPPUNIT_ASSERT_EQUAL(uint64_t(1),
                         mFake->Group().Counts().mRefusedAtFullQueue);
  }

  void WithoutAccountsAFullQueueRefusesTheNewcomer()
  {
    FillQueue();
    const auto& newcomer = Send("WRITE 1 small", {});
    CPPUNIT_ASSERT(newcomer.LastError() == ErrorKind::QueueFull);
    CPPUNIT_ASSERT_EQUAL(size_t(1), CountRefused());
  }

  void LoadIsToldOnlyWhereAccountsShareSlots()
  {
    CPPUNIT_ASSERT(!mFake->Group().LoadOf(QueueKind::AtPrimary));
    SetAccounts();
    CPPUNIT_ASSERT(mFake->Group().LoadOf(QueueKind::AtPrimary) == GroupLoad{});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSharing);
