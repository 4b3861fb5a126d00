#pragma once

#include "LibCore/Error.h"

#include <utility>
#include <variant>

namespace papayaline {

/// A value or the error that prevented it. Callers propagate an error with
/// PL_TRY instead of throwing across modules.
template<typename T>
class [[nodiscard]] Result
{
public:
  Result(T aValue)
    : mState(std::in_place_index<0>, std::move(aValue))
  {
  }
  Result(Error aError)
    : mState(std::in_place_index<1>, std::move(aError))
  {
  }

  bool IsError() const { return mState.index() == 1; }

  /// Precondition: !IsError().
  const T& Value() const { return std::get<0>(mState); }
  /// Precondition: !IsError(). Leaves the result moved from.
  T Take() { return std::move(std::get<0>(mState)); }
  /// Precondition: IsError().
  const Error& GetError() const { return std::get<1>(mState); }

private:
  std::variant<T, Error> mState;
};

/// The value type of calls that either succeed or fail.
using Done = std::monostate;

}

/// Evaluates to the value of a Result or returns its error from the caller.
#define PL_TRY(expression)                                                     \
  ({                                                                           \
    auto plResult = (expression);                                              \
    if (plResult.IsError()) {                                                  \
      return plResult.GetError();                                              \
    }                                                                          \
    plResult.Take();                                                           \
  })
