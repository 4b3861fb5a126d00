#include "Operation.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "Metrics.h"

#include <utility>

namespace papayaline {

Operation::Operation(GroupEngine& aEngine,
                     Request aRequest,
                     AnswerHandler aHandler)
  : mEngine(aEngine)
  , mRequest(std::move(aRequest))
  , mHandler(std::move(aHandler))
  , mId(aEngine.NextOperationId())
{
}

void
Operation::Finish(const Answer& aAnswer)
{
  const auto handler = std::exchange(mHandler, {});
  if (!handler) {
    return;
  }
  const std::chrono::duration<double> elapsed = Now() - mRequest.mArrivedAt;
  Metrics::Instance().ObserveLatency(mRequest.mClass.mName, elapsed.count());
  const auto self = shared_from_this();
  mEngine.Remove(*this);
  handler(aAnswer);
}

AnswerHandler
Operation::TakeHandler()
{
  const auto self = shared_from_this();
  mEngine.Remove(*this);
  return std::exchange(mHandler, {});
}

void
Operation::Refuse(const Error& aError)
{
  Metrics::Instance().Add(Counter::Refused);
  Finish(ErrorAnswerOf(aError));
}

}
