#pragma once

#include "LibDecision/Instant.h"

#include <functional>
#include <string>

namespace papayaline {

enum class QuotaVerdict
{
  Admitted,
  /// The operation is beyond the limit of its account.
  Exceeded,
};

/// Admits operations of client accounts up to their quotas. An operation is a
/// single statement or a transaction. Thread safety: one thread.
class QuotaGate
{
public:
  using Handler = std::function<void(QuotaVerdict)>;

  virtual ~QuotaGate() = default;

  /// Counts one operation of an account. The handler is called once: before
  /// Admit returns when this instance can decide by itself, otherwise within a
  /// few round trips between instances.
  virtual void Admit(const std::string& aAccount, Handler aHandler) = 0;
  /// Takes back the count of an admitted operation that no database received.
  virtual void Return(const std::string& aAccount) = 0;
  /// How long an admission is valid. An operation that was not sent to a
  /// database by then needs another one, after Return of the first.
  virtual Duration Validity() const = 0;
};

}
