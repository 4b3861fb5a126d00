#pragma once

#include <chrono>
#include <cstdint>

namespace papayaline {

/// How many connections one instance may hold to one database.
struct ConnectionShare
{
  unsigned mStatus = 1;
  unsigned mWork = 1;

  bool operator==(const ConnectionShare&) const = default;
};

/// Divides a database's connection limit among the instances that are home to
/// its group. One connection is kept for status and control; the reserve
/// covers a replacement that overlaps its predecessor. Pure; any thread.
/// Precondition: aInstances > 0.
ConnectionShare
DivideConnections(unsigned aLimit, unsigned aReserve, unsigned aInstances);

/// How an instance uses the connections of one database.
struct ConnectionPlan
{
  unsigned mAllowance = 1;
  /// Connections that are kept open without need.
  unsigned mMinimum = 1;
  /// After which a connection over the minimum is closed.
  std::chrono::milliseconds mIdleTimeout{ 1000 };

  bool operator==(const ConnectionPlan&) const = default;
};

/// Plans for an instance that holds aOwn connections to a database that reports
/// aTotal of aLimit in use. Without a list of instances the database's own
/// count is what keeps the sum within the limit: an instance takes a quarter of
/// what is spare, and always one. The reserve is left to instances that start.
/// Where all but the reserve are taken, as when there are more instances than
/// connections, none is kept without need. Pure; any thread.
ConnectionPlan
PlanConnections(unsigned aLimit, unsigned aTotal, unsigned aOwn);

}
