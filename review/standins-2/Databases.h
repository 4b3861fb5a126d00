#pragma once

#include "Platform.h"

#include <deque>
#include <list>
#include <optional>

namespace review {

/// A position of a log, TERM.NUMBER.
struct Position
{
  quint64 mTerm = 0;
  quint64 mNumber = 0;

  auto operator<=>(const Position&) const = default;
};

/// The figures of the site sandline.
struct DatabaseSettings
{
  double mNetworkMs = 2;
  /// How long a replica takes to apply what it has received.
  double mLagMs = 60;
  double mWorkMs = 3;
  double mHandshakeMs = 12;
  double mPromoteMs = 600;
  /// How long an old primary goes on once it can reach the new one.
  double mOldPrimaryMs = 1000;
  unsigned mSyncReplicas = 0;
  int mMaxConnections = 34;
  int mSlots = 2;
  /// Answers SET, PARSE, CLOSE and DISCARD with the position "-".
  bool mIsTerse = false;
};

/// A write that was committed.
struct Entry
{
  quint64 mTerm = 0;
  quint64 mNumber = 0;
  std::string mItem;
  std::string mValue;
  /// The id of the client's statement that committed it.
  std::string mId;
};

/// What a database ran, in order.
struct Run
{
  double mAt = 0;
  std::string mDatabase;
  std::string mId;
  QByteArray mText;
  bool mIsCommit = false;
  /// The ids of the commits that the log held, for reads only.
  std::vector<std::string> mLog;
};

class Databases;

/// A database of a service: speaks the line protocol and replicates.
class Database : public QObject
{
public:
  Database(Databases& aAll,
           std::string aService,
           std::string aName,
           std::string aZone);

  std::string mService;
  std::string mName;
  std::string mZone;
  bool mIsPrimary = false;
  bool mIsRunning = true;
  /// Receives nothing.
  bool mIsDeaf = false;
  bool mIsLeaving = false;
  quint64 mTerm = 3;
  quint64 mFencedTerm = 0;
  std::vector<Entry> mLog;
  double mLagMs = 0;
  std::map<std::string, quint16> mPorts;

  void Accept(const std::shared_ptr<Pipe>& aPipe);
  /// Ends all connections.
  void Crash();
  Position Received() const;
  Position Applied() const;
  void Receive(const Database& aFrom);
  void Lead(quint64 aTerm);
  /// For how long this old primary has reached a newer one.
  std::optional<double> mReachesNewerSince;
  QJsonObject Directory() const;

private:
  struct Connection
  {
    std::shared_ptr<Pipe> mPipe;
    QByteArray mBuffer;
    std::deque<QByteArray> mLines;
    bool mIsBusy = false;
    bool mIsOpen = false;
    char mState = 'I';
    bool mIsReadOnly = false;
    quint64 mBegunInTerm = 0;
    bool mHasWritten = false;
    std::vector<Entry> mStaged;
    std::map<std::string, std::pair<std::string, std::string>> mPrepared;
    std::map<std::string, std::string> mValues;
    std::optional<double> mCutSince;
    const bool* mIsCut = nullptr;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;
  struct Answer
  {
    QByteArray mRows;
    QByteArray mError;
    QByteArray mSignature = "-";
  };

  void Next(const ConnectionPointer& aConnection);
  void Handle(const ConnectionPointer& aConnection, const QByteArray& aLine);
  Answer RunQuery(const ConnectionPointer& aConnection,
                  const std::string& aId,
                  QByteArray aText);
  Answer Control(const QList<QByteArray>& aWords);
  std::vector<std::string> Commit(const ConnectionPointer& aConnection,
                                  std::vector<Entry> aEntries);
  void Reply(const ConnectionPointer& aConnection, const QByteArray& aText);
  size_t AppliedCount() const;
  QByteArray PositionAfter(const QByteArray& aText) const;
  bool Holds(const Position& aPosition) const;
  QByteArray Sign();

  Databases& mAll;
  std::list<ConnectionPointer> mConnections;
  /// When each entry of the log arrived.
  std::vector<double> mReceivedAt;
  /// How many entries were applied so far; what is applied stays so.
  mutable size_t mApplied = 0;
  size_t mNextSignature = 0;
};

/// All databases, their replication and their promotions.
class Databases : public QObject
{
public:
  Databases(Network& aNetwork,
            Platform& aPlatform,
            Record& aRecord,
            DatabaseSettings aSettings);

  Database& Add(const std::string& aService,
                const std::string& aName,
                const std::string& aZone,
                bool aIsPrimary);
  Database& At(const std::string& aName);
  /// The primary of the highest term; null without one.
  Database* Primary(const std::string& aService);
  /// Opens a port of each database for an instance.
  void ConnectInstance(const std::string& aInstance);
  void Announce(Database& aDatabase);
  /// A database reports that it is draining. It goes on serving.
  void Leave(const std::string& aName);
  void Crash(const std::string& aName);
  bool Promote(const std::string& aName);

  bool CanReach(const Database& aOne, const Database& aOther) const;
  std::vector<Database*> OfService(const std::string& aService);

  struct Promotion
  {
    double mAt = 0;
    std::string mDatabase;
    quint64 mTerm = 0;
    /// The ids of the commits that the new primary's log holds.
    std::set<std::string> mLog;
  };

  Network& mNetwork;
  Platform& mPlatform;
  Record& mRecord;
  DatabaseSettings mSettings;
  std::vector<Run> mRuns;
  std::vector<Promotion> mPromotions;
  std::vector<std::unique_ptr<Database>> mDatabases;

private:
  void Replicate();

  std::set<std::string> mPromoting;
  std::vector<std::string> mInstances;
};

}
