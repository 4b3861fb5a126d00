#pragma once

#include "LibCore/Error.h"

#include <utility>
#include <variant>

namespace papayaline {

/// Either a value or an Error. Functions return a Result instead of throwing
/// exceptions across libraries; callers propagate the error with PL_TRY.
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
  /// Moves the value out of the result. Precondition: !IsError().
  T Take() { return std::move(std::get<0>(mState)); }
  /// Precondition: IsError().
  const Error& GetError() const { return std::get<1>(mState); }

private:
  std::variant<T, Error> mState;
};

/// The value type of a Result that carries no value.
using Done = std::monostate;

}

/// Evaluates to the value of a Result, or returns its error from the enclosing
/// function.
#define PL_TRY(expression)                                                     \
  ({                                                                           \
    auto plResult = (expression);                                              \
    if (plResult.IsError()) {                                                  \
      return plResult.GetError();                                              \
    }                                                                          \
    plResult.Take();                                                           \
  })
