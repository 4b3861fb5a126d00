#include "LibConfiguration/RelayConfiguration.h"

#include <algorithm>

namespace papayaline {

const RelayRoute*
RelayConfiguration::FindRoute(const std::string& aDatabase) const
{
  const auto it = std::ranges::find(mRoutes, aDatabase, &RelayRoute::mDatabase);
  return it != mRoutes.end() ? &*it : nullptr;
}

}
