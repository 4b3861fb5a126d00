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

/// The connections to one database as an instance knows of them.
struct ConnectionLoad
{
  /// How many the database takes.
  unsigned mLimit = 1;
  /// How many it says that it has, from all instances.
  unsigned mTotal = 0;
  unsigned mOwn = 0;
  /// How many instances there are; 0 when that is not known.
  unsigned mInstances = 0;
  /// How many statements, or openings, it works on at a time.
  unsigned mSlots = 1;

  bool operator==(const ConnectionLoad&) const = default;
};

/// How many of a database's connections are planned for; one in eight is left
/// to instances that start. Pure; any thread.
unsigned
UsableConnections(unsigned aLimit);

/// Plans for one instance. The database's own count keeps the sum within the
/// limit: an instance takes a part of what is spare, and always one. A reserve
/// is left to instances that start. Where there is a connection for each
/// instance, each keeps one: opening one takes a slot of the database for
/// longer than most statements, so that closing them when they are short makes
/// them shorter still. When the reserve is used too, as after a restart of all,
/// whose predecessors the database has not yet given up, the only one is passed
/// on, but no faster than the database can open one for each. Where there are
/// more instances than connections, or the number of instances is not known,
/// none is kept once all but the reserve are taken. Pure; any thread.
ConnectionPlan
PlanConnections(const ConnectionLoad& aLoad);

}
