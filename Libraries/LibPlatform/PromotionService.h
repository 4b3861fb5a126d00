#pragma once

#include "LibDecision/PromotionLease.h"
#include "LibDecision/TakeoverMachine.h"

#include <functional>

namespace papayaline {

/// The platform's service that replaces the primary of a group. Thread safety:
/// one thread.
class PromotionService
{
public:
  using Handler = std::function<void(PromotionAnswer)>;

  virtual ~PromotionService() = default;

  /// Requests the promotion of aUpstream to primary, under the lease holder and
  /// fencing token given. The handler is called once; Unknown means that the
  /// promotion may still take effect.
  virtual void Promote(const std::string& aGroup,
                       const std::string& aUpstream,
                       const std::string& aLeaseHolder,
                       uint64_t aFencingToken,
                       Handler aHandler) = 0;
};

}
