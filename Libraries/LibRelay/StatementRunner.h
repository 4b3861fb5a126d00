#pragma once

#include "LibRelay/RelayRequest.h"

namespace papayaline {

/// Runs the statements of sessions on one group, on this instance or another.
/// Thread safety: one thread.
class StatementRunner
{
public:
  virtual ~StatementRunner() = default;

  /// Runs a single statement, or the first statement of a transaction.
  virtual void Submit(RelayRequest aRequest, OutcomeHandler aHandler) = 0;
  /// Runs a further statement, or the commit, of an open transaction. The
  /// transaction has ended when the outcome carries none.
  virtual void Continue(const std::shared_ptr<OpenTransaction>& aTransaction,
                        RelayRequest aRequest,
                        OutcomeHandler aHandler) = 0;
  /// Removes the statements of a session that were not sent yet; their handlers
  /// are not called. Returns whether there were any.
  virtual bool Cancel(const SessionState& aSession) = 0;
  /// Rolls back a transaction without a response to the caller.
  virtual void RollBack(
    const std::shared_ptr<OpenTransaction>& aTransaction) = 0;
};

}
