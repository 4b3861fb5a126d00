#include "Operation.h"

#include "Clock.h"
#include "GroupEngine.h"
#include "Metrics.h"

#include <utility>

namespace papayaline {

Operation::Operation(GroupEngine& aEngine,
                     Request aRequest,
                     ResponseHandler aHandler)
  : mEngine(aEngine)
  , mRequest(std::move(aRequest))
  , mHandler(std::move(aHandler))
  , mId(aEngine.NextOperationId())
{
}

void
Operation::Finish(const Response& aResponse)
{
  const auto handler = std::exchange(mHandler, {});
  if (!handler) {
    return;
  }
  const std::chrono::duration<double> elapsed = Now() - mRequest.mArrivedAt;
  Metrics::Instance().ObserveLatency(mRequest.mClass.mName, elapsed.count());
  const auto self = shared_from_this();
  mEngine.Remove(*this);
  handler(aResponse);
}

ResponseHandler
Operation::TakeHandler()
{
  const auto self = shared_from_this();
  mEngine.Remove(*this);
  return std::exchange(mHandler, {});
}

void
Operation::FinishWithError(const Error& aError)
{
  Metrics::Instance().Add(Counter::Refused);
  Finish(MakeErrorResponse(aError));
}

}
