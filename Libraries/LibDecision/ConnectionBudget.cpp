#include "LibDecision/ConnectionBudget.h"

#include <algorithm>

namespace papayaline {

ConnectionShare
DivideConnections(unsigned aLimit, unsigned aReserve, unsigned aInstances)
{
  const unsigned usable = aLimit > aReserve ? aLimit - aReserve : 1;
  const unsigned each = usable / std::max(aInstances, 1U);
  return { 1, std::max(each, 2U) - 1 };
}

}
