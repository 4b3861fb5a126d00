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

/// A request under way in a group engine. The engine calls it when something
/// changed that it may wait for. Thread safety: the engine's thread.
class Operation : public std::enable_shared_from_this<Operation>
{
public:
  Operation(GroupEngine& aEngine, Request aRequest, AnswerHandler aHandler);
  virtual ~Operation() = default;

  /// Takes a connection and begins, when the evidence and a free connection
  /// are there. Called only while the operation is queued.
  virtual StartResult TryStart(Instant aNow) = 0;
  /// Called after each report of an upstream.
  virtual void OnEvidence(Instant aNow) = 0;
  /// The deadline has passed; the operation must finish.
  virtual void OnDeadline() = 0;
  /// Whether the operation waits for a newer report.
  virtual bool AwaitsEvidence() const = 0;

  /// Ends with an error unless it has ended before.
  void Refuse(const Error& aError);

  uint64_t Id() const { return mId; }
  const Request& GetRequest() const { return mRequest; }
  bool IsFinished() const { return !mHandler; }

protected:
  void Finish(const Answer& aAnswer);
  /// Ends this operation without an answer; the handler goes to another one.
  AnswerHandler TakeHandler();

  GroupEngine& mEngine;
  Request mRequest;

private:
  AnswerHandler mHandler;
  uint64_t mId;
};

}
