#pragma once

namespace papayaline {

/// Limits retries to a share of recent successes, so that retries can't
/// multiply the load on an overloaded database. Thread safety: one thread.
class RetryBudget
{
public:
  static constexpr double kRetriesPerSuccess = 0.1;
  static constexpr double kMaxSavedRetries = 20;

  void ObserveSuccess();

  /// Consumes one retry from the budget; returns false when none is left.
  bool TrySpend();

private:
  double mSavedRetries = kMaxSavedRetries;
};

}
