#pragma once

#include <chrono>
#include <cstdint>

namespace papayaline {

/// The numbers of connections that one instance may hold to one database.
struct ConnectionShare
{
  unsigned mStatus = 1;
  unsigned mStatements = 1;

  bool operator==(const ConnectionShare&) const = default;
};

/// Divides a database's connection limit among the home instances of its group.
/// One connection of each instance is dedicated to status and control. The
/// reserve covers an instance that overlaps with its replacement. Pure; any
/// thread. Precondition: aInstances > 0.
ConnectionShare
DivideConnections(unsigned aLimit, unsigned aReserve, unsigned aInstances);

/// How an instance manages its connections to one database.
struct ConnectionPlan
{
  unsigned mAllowance = 1;
  /// The number of connections that are kept open while idle.
  unsigned mMinimum = 1;
  /// How long a connection above the minimum may be idle before it is closed.
  std::chrono::milliseconds mIdleTimeout{ 1000 };
  /// No more of them are closed for being idle.
  unsigned mKept = 0;
  /// How many connections may be opening at a time.
  unsigned mMaxOpenings = 1;
  /// Whether a newer status of the database may allow more connections.
  bool mMayGrow = true;

  bool operator==(const ConnectionPlan&) const = default;
};

/// The use of one database's connections, as far as an instance knows.
struct ConnectionLoad
{
  /// The connection limit of the database.
  unsigned mLimit = 1;
  /// The number of connections from all instances, as the database reports it.
  unsigned mTotal = 0;
  unsigned mOwn = 0;
  /// The number of instances; 0 when it is unknown.
  unsigned mInstances = 0;
  /// The number of statements or connection attempts that the database handles
  /// concurrently.
  unsigned mSlots = 1;
  /// The number of client accounts, each of which needs connections of its own;
  /// 0 when there are none.
  unsigned mAccounts = 0;

  bool operator==(const ConnectionLoad&) const = default;
};

/// The number of a database's connections that plans may use. One in eight is
/// reserved for instances that start. Pure; any thread.
unsigned
UsableConnections(unsigned aLimit);

/// Plans the connections of one instance to one database.
///
/// The connection count that the database reports keeps the sum over all
/// instances within the limit: each instance may take a part of the spare
/// connections, and always one. A reserve is left for instances that start.
///
/// If there are enough connections for every instance, each instance keeps one
/// open. Connecting occupies a slot of the database for longer than most
/// statements do, so closing scarce connections would make the shortage worse.
///
/// If the reserve is in use as well, an instance closes its only connection
/// when idle, so that others can connect. This happens after a restart of all
/// instances, while the database still holds the connections of the terminated
/// processes. The idle timeout then gives the database the time to open one
/// connection per instance.
///
/// With client accounts, idle connections are kept for long, since each one
/// spares its account an opening. When the accounts of all instances need more
/// connections than there are, one instance may have three quarters of them: a
/// database's statements mostly come through the home in its failure domain,
/// and the others need few connections to it. An instance with less than half
/// of an equal share may open more from the reserve; those with more than an
/// equal share then close as many idle ones as the reserve lacks.
///
/// If there are more instances than connections, or their number is unknown,
/// idle connections are not kept once all but the reserve are in use.
///
/// Pure; any thread.
ConnectionPlan
PlanConnections(const ConnectionLoad& aLoad);

}
