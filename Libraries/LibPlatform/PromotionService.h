#pragma once

#include "LibDecision/PromotionDuty.h"
#include "LibDecision/TakeoverMachine.h"

#include <functional>

namespace papayaline {

/// The platform's call that replaces the primary of a group. Thread safety: one
/// thread.
class PromotionService
{
public:
  using Handler = std::function<void(PromotionAnswer)>;

  virtual ~PromotionService() = default;

  /// Orders aUpstream to lead. The handler is called once; Unknown means that
  /// the order may still take effect.
  virtual void Promote(const std::string& aGroup,
                       const std::string& aUpstream,
                       const std::string& aHolder,
                       uint64_t aToken,
                       Handler aHandler) = 0;
};

}
