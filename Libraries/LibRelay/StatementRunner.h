#pragma once

#include "LibRelay/RelayRequest.h"

namespace papayaline {

/// Runs the statements of sessions on one group. Thread safety: one thread.
class StatementRunner
{
public:
  virtual ~StatementRunner() = default;

  /// Runs a statement outside a transaction, or the first of one.
  virtual void Submit(RelayRequest aRequest, OutcomeHandler aHandler) = 0;
  /// Runs a further statement, or the commit, of a transaction. The hold ends
  /// when the outcome carries none.
  virtual void Continue(const std::shared_ptr<TransactionHold>& aHold,
                        RelayRequest aRequest,
                        OutcomeHandler aHandler) = 0;
  /// Forgets the statements of a session that still wait.
  virtual void Cancel(const SessionState& aSession) = 0;
  /// Rolls a transaction back; the caller needs no answer.
  virtual void Abandon(const std::shared_ptr<TransactionHold>& aHold) = 0;
};

}
