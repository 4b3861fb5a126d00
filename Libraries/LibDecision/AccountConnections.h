#pragma once

#include "LibDecision/Instant.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace papayaline {

/// How often statements of each client account use the connections to one
/// database. Older uses count less. Thread safety: one thread.
class AccountDemand
{
public:
  void Observe(const std::string& aAccount, Instant aNow);
  /// Statements per second; 0 for an account without recent ones.
  double Rate(const std::string& aAccount, Instant aNow) const;

private:
  struct Uses
  {
    /// Decayed up to mAt.
    double mCount = 0;
    Instant mAt;
  };

  void Prune(Instant aNow);
  static double CountAt(const Uses& aUses, Instant aNow);

  std::map<std::string, Uses> mUses;
  std::optional<Instant> mSince;
};

/// The connections of one client account to one database, and what waits for
/// them at this instance.
struct AccountConnections
{
  std::string mAccount;
  unsigned mIdle = 0;
  /// In use by a statement outside a transaction.
  unsigned mRunning = 0;
  /// In use by a transaction, whose caller decides when it ends.
  unsigned mInTransaction = 0;
  unsigned mOpening = 0;
  /// Statements that wait for a connection.
  unsigned mWaiting = 0;
  /// How long the connection that is idle for longest has been so.
  Duration mIdleTime{};
  /// Statements per second.
  double mRate = 0;

  unsigned Total() const
  {
    return mIdle + mRunning + mInTransaction + mOpening;
  }
  /// Whether a waiting statement will get one without another being opened.
  bool HasUsable() const { return mIdle + mRunning + mOpening > 0; }
  bool operator==(const AccountConnections&) const = default;
};

/// The limits within which connections to one database are opened.
struct ConnectionLimits
{
  /// How many connections this instance may have, and has.
  unsigned mAllowance = 1;
  unsigned mTotal = 0;
  /// How many may be opening at a time, and are.
  unsigned mMaxOpenings = 1;
  unsigned mOpenings = 0;
  /// How long a statement runs at the database.
  Duration mAnswerTime{};
  /// How long a database takes to open a connection.
  Duration mOpenTime{ std::chrono::milliseconds(12) };

  bool operator==(const ConnectionLimits&) const = default;
};

enum class ConnectionVerdict
{
  Open,
  /// Close an idle connection of another account, then open one.
  Replace,
  /// Wait for a running connection of the account.
  WaitForOwn,
  /// Wait for one that is opening for the account.
  WaitForOpening,
  /// The database bears no more openings at a time, or accounts with more
  /// waiting statements go first.
  WaitForOpeningSlot,
  /// All connections are in use, or those of other accounts are worth more.
  WaitForOther,
};

struct ConnectionChoice
{
  ConnectionVerdict mVerdict = ConnectionVerdict::WaitForOther;
  /// With Replace the account whose idle connection is closed.
  std::string mReplaced;

  bool operator==(const ConnectionChoice&) const = default;
};

/// How many statements per second use the last one of aConnections connections
/// of an account, because all others are in use (Erlang's loss formula). Pure;
/// any thread. Precondition: aConnections > 0.
double
ConnectionUseRate(double aRate, Duration aAnswerTime, unsigned aConnections);

/// Decides how a statement that finds no free connection of its account gets
/// one. A connection belongs to one account for life, and opening one keeps a
/// slot of the database busy, so:
///
/// - A statement waits for connections that open already, and for running ones
///   of its account while that takes about as long as opening one.
/// - While fewer openings are allowed than accounts without a connection wait,
///   accounts with more waiting statements go first, so that most are served
///   soon after all instances were restarted.
/// - For an account without a connection, the idle one with the lowest use rate
///   is closed. An account that has one takes another only from an account
///   whose use rate is lower, and only up to half of all connections.
/// - An idle connection is kept for at least as long as opening one takes, so
///   that two accounts don't take one connection from each other in turn.
///
/// aPosition is the place of the statement among those of its account that
/// wait, from 1. Pure; any thread. Precondition: aAll has each account at most
/// once.
ConnectionChoice
ChooseConnection(const std::string& aAccount,
                 unsigned aPosition,
                 std::span<const AccountConnections> aAll,
                 const ConnectionLimits& aLimits);

}
