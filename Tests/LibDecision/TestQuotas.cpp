#include "LibDecision/QuotaBank.h"
#include "LibDecision/QuotaLedger.h"
#include "LibDecision/QuotaMembership.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;
using namespace std::chrono_literals;

class TestQuotas : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestQuotas);
  CPPUNIT_TEST(SharesOfAllInstancesStayWithinTheBound);
  CPPUNIT_TEST(UnknownFleetMintsNothing);
  CPPUNIT_TEST(StockIsCutWhenTheLimitIsLowered);
  CPPUNIT_TEST(LongPauseFillsTheStockToItsBoundOnly);
  CPPUNIT_TEST(TokensThatAreGivenAreGone);
  CPPUNIT_TEST(CollectionAnsweredTwiceOrLateBringsNothing);
  CPPUNIT_TEST(BankKeepsNoMoreThanItsBound);
  CPPUNIT_TEST(UnusedBankGivesUpItsTokens);
  CPPUNIT_TEST(LowerCountIsBelievedAfterAMinute);
  CPPUNIT_TEST(NewInstanceMintsOnceOthersKnowIt);
  CPPUNIT_TEST(RestartedInstanceMintsAtOnce);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Instant kStart = Instant(1h);

  static QuotaTerms Terms(double aRate, double aBurst)
  {
    return { aRate, aBurst, 5s, 0.1, 20 };
  }
  static QuotaLedger::Shares Shares(double aRate, double aBurst)
  {
    return { { "account", ShareQuota(Terms(aRate, aBurst), 10) } };
  }

public:
  /// One instance in eighty is not counted and mints too.
  void SharesOfAllInstancesStayWithinTheBound()
  {
    const auto times = QuotaTimesOf(5s, 0.1);
    const std::chrono::duration<double> time =
      5s + 2 * times.mTransfer + times.mAdmission;
    for (const auto rate : { 0.5, 20.0, 500.0 }) {
      for (const auto burst : { 0.0, 1.0, 1000.0 }) {
        const auto shares = ShareQuota(Terms(rate, burst), 80);
        const auto sum =
          81 * (shares.mMintPerSecond * time.count() + shares.mMintedStock) +
          shares.mWorkingStock + 2 * shares.mBankStock;
        CPPUNIT_ASSERT(sum <= (rate * 5 + burst) * 1.1 + 20 + 1e-6);
      }
    }
  }

  void UnknownFleetMintsNothing()
  {
    CPPUNIT_ASSERT(QuotaShares{} == ShareQuota(Terms(100, 100), 0));
  }

  void StockIsCutWhenTheLimitIsLowered()
  {
    QuotaLedger ledger;
    ledger.SetShares(Shares(100, 100), kStart);
    const auto before = ledger.Stock("account", kStart + 10s);
    ledger.SetShares(Shares(10, 1), kStart + 10s);
    const auto after = ledger.Stock("account", kStart + 10s);
    CPPUNIT_ASSERT(after < before / 2);
    CPPUNIT_ASSERT(after <= Shares(10, 1).at("account").mMintedStock);
  }

  void LongPauseFillsTheStockToItsBoundOnly()
  {
    QuotaLedger ledger;
    ledger.SetShares(Shares(100, 100), kStart);
    ledger.Add("account", 1e6, kStart + 1h);
    CPPUNIT_ASSERT(ledger.Stock("account", kStart + 1h) <=
                   Shares(100, 100).at("account").mMintedStock);
  }

  void TokensThatAreGivenAreGone()
  {
    QuotaLedger ledger;
    ledger.SetShares(Shares(100, 100), kStart);
    const auto before = ledger.Stock("account", kStart + 1s);
    const auto given = ledger.Give("account", 3, kStart + 1s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, given, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      before - 3, ledger.Stock("account", kStart + 1s), 1e-9);
  }

  void CollectionAnsweredTwiceOrLateBringsNothing()
  {
    QuotaBank bank(QuotaTimesOf(5s, 0.1));
    bank.SetInstances({ "x", "y" });
    bank.SetShares(Shares(100, 100));
    bank.Withdraw(1, { { "account", 4, 4 } }, kStart);
    const auto collections = bank.TakeCollections(kStart);
    CPPUNIT_ASSERT(!collections.empty());
    const auto id = collections.front().mId;
    bank.OnCollected(id, { { "account", 1, 0ms } }, kStart + 5ms);
    bank.OnCollected(id, { { "account", 3, 0ms } }, kStart + 6ms);
    if (collections.size() > 1) {
      bank.OnCollected(
        collections[1].mId, { { "account", 3, 0ms } }, kStart + 200ms);
    }
    const auto answers = bank.TakeAnswers(kStart + 300ms);
    CPPUNIT_ASSERT_EQUAL(size_t(1), answers.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      1, answers.front().mPayouts.front().mTokens, 1e-9);
  }

  void BankKeepsNoMoreThanItsBound()
  {
    const auto bound = Shares(100, 100).at("account").mBankStock;
    QuotaBank bank(QuotaTimesOf(5s, 0.1));
    bank.SetInstances({ "x" });
    bank.SetShares(Shares(100, 100));
    bank.Withdraw(1, { { "account", 1, 1 } }, kStart);
    const auto collections = bank.TakeCollections(kStart);
    bank.OnCollected(
      collections.front().mId, { { "account", 1000, 0ms } }, kStart + 5ms);
    bank.TakeAnswers(kStart + 5ms);
    bank.Withdraw(2, { { "account", 1000, 0 } }, kStart + 6ms);
    const auto answers = bank.TakeAnswers(kStart + 6ms);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      bound, answers.front().mPayouts.front().mTokens, 1e-9);
  }

  void UnusedBankGivesUpItsTokens()
  {
    QuotaBank bank(QuotaTimesOf(5s, 0.1));
    bank.SetInstances({ "x" });
    bank.SetShares(Shares(100, 100));
    bank.Withdraw(1, { { "account", 1, 1 } }, kStart);
    const auto collections = bank.TakeCollections(kStart);
    bank.OnCollected(
      collections.front().mId, { { "account", 5, 0ms } }, kStart + 5ms);
    bank.TakeAnswers(kStart + 5ms);
    bank.TakeCollections(kStart + 3s);
    bank.Withdraw(2, { { "account", 1, 0 } }, kStart + 3s);
    const auto answers = bank.TakeAnswers(kStart + 3s);
    CPPUNIT_ASSERT_EQUAL(0.0, answers.front().mPayouts.front().mTokens);
  }

  /// A restored store lists fewer instances than there are.
  void LowerCountIsBelievedAfterAMinute()
  {
    QuotaMembership membership;
    CPPUNIT_ASSERT_EQUAL(size_t(0), membership.Count(kStart));
    membership.ObserveList(81, true, StartListing::Listed, kStart);
    membership.ObserveList(40, true, StartListing::Listed, kStart + 100s);
    CPPUNIT_ASSERT_EQUAL(size_t(81), membership.Count(kStart + 159s));
    CPPUNIT_ASSERT_EQUAL(size_t(40), membership.Count(kStart + 160s));
    membership.ObserveCount(82, kStart + 161s);
    CPPUNIT_ASSERT_EQUAL(size_t(82), membership.Count(kStart + 161s));
  }

  void NewInstanceMintsOnceOthersKnowIt()
  {
    QuotaMembership membership;
    membership.ObserveList(80, false, StartListing::NotListed, kStart);
    membership.ObserveCount(80, kStart + 1s);
    CPPUNIT_ASSERT(!membership.MayMint(kStart + 10s));
    membership.ObserveList(81, true, StartListing::NotListed, kStart + 10s);
    membership.ObserveCount(81, kStart + 11s);
    CPPUNIT_ASSERT(!membership.MayMint(kStart + 15s));
    CPPUNIT_ASSERT(membership.MayMint(kStart + 16s));
  }

  void RestartedInstanceMintsAtOnce()
  {
    QuotaMembership membership;
    membership.ObserveList(81, true, StartListing::Listed, kStart);
    CPPUNIT_ASSERT(membership.MayMint(kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestQuotas);
