#pragma once

#include "Request.h"

#include <memory>

namespace papayaline {

class GroupEngine;

enum class StartResult
{
  Started,
  Waiting,
};

/// A request that is queued or in flight in a group engine. The engine notifies
/// it of status reports, free connections and its deadline.
/// Thread safety: the engine's thread.
class Operation : public std::enable_shared_from_this<Operation>
{
public:
  Operation(GroupEngine& aEngine, Request aRequest, ResponseHandler aHandler);
  virtual ~Operation() = default;

  /// Acquires a connection and starts, or returns Waiting while the evidence
  /// does not suffice or no connection is free. Precondition: the operation is
  /// queued.
  virtual StartResult TryStart(Instant aNow) = 0;
  /// Called after each status report of an upstream.
  virtual void OnEvidence(Instant aNow) = 0;
  /// Called once the deadline has passed. Must finish the operation.
  virtual void OnDeadline() = 0;
  /// Whether the next step of the operation depends on newer evidence.
  virtual bool AwaitsEvidence() const = 0;

  /// Responds with an error. Has no effect on a finished operation.
  void FinishWithError(const Error& aError);

  uint64_t Id() const { return mId; }
  const Request& GetRequest() const { return mRequest; }
  bool IsFinished() const { return !mHandler; }

protected:
  void Finish(const Response& aResponse);
  /// Removes this operation from the engine without a response and returns its
  /// handler, so that another operation can respond.
  ResponseHandler TakeHandler();

  GroupEngine& mEngine;
  Request mRequest;

private:
  ResponseHandler mHandler;
  uint64_t mId;
};

}
