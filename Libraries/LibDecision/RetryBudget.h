#pragma once

namespace papayaline {

/// Caps retries at a share of recent successes, so that retries can't multiply
/// the load of a struggling database. Thread safety: one thread.
class RetryBudget
{
public:
  static constexpr double kRetriesPerSuccess = 0.1;
  static constexpr double kMaxSavedRetries = 20;

  void ObserveSuccess();

  /// Takes one retry off the budget; false when none is left.
  bool TrySpend();

private:
  double mSaved = kMaxSavedRetries;
};

}
