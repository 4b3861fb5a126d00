#include "FakeUpstreams.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

/// Databases whose answers to some commands state no log position.
class TestStatedPositions : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestStatedPositions);
  CPPUNIT_TEST(AnswerWithoutPositionMakesNoAgedReadStale);
  CPPUNIT_TEST_SUITE_END();

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

public:
  void setUp() override { mFake = std::make_unique<FakeUpstreams>(); }
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStatedPositions);
