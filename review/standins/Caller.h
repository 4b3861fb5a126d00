#pragma once

#include <QTcpSocket>
#include <functional>
#include <memory>

namespace review {

struct Answer
{
  QByteArray mId;
  QByteArray mText;
  /// The lines before READY, joined by " | "; empty if the connection ended.
  QByteArray mLines;
  qint64 mSentMs = 0;
  qint64 mAnsweredMs = 0;

  bool IsSuccess() const { return mLines.contains("COMPLETE"); }
};

/// A client's session on an instance. One statement is outstanding at a time.
class Caller : public QObject
{
public:
  using Handler = std::function<void(const Answer&)>;

  Caller(quint16 aPort, const QByteArray& aDatabase);
  ~Caller() override;

  /// Whether the session is open and no statement is outstanding.
  bool IsFree() const { return mIsOpen && !mHandler; }
  bool IsClosed() const;
  /// Sends a statement with a new id, which it returns. The handler is called
  /// once.
  QByteArray Query(const QByteArray& aText, Handler aHandler);
  void Close() { mSocket.abort(); }

private:
  void Read();
  void End();

  QTcpSocket mSocket;
  QByteArray mBuffer;
  bool mIsOpen = false;
  Answer mAnswer;
  Handler mHandler;
};

/// Handles events until the condition holds or the time has passed.
bool
Await(int aTimeoutMs, const std::function<bool()>& aCondition);
void
Wait(int aMs);

}
