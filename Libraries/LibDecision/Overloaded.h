#pragma once

namespace papayaline {

/// Combines handlers, one for each alternative, into a visitor for std::visit.
template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}
