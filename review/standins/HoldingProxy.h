#pragma once

#include <QTcpServer>
#include <QTcpSocket>

namespace review {

/// Forwards connections from an instance to a server, and partitions the two.
/// While partitioned, connections from before stay open, and what the instance
/// sent on them arrives when the partition ends, unless the instance reset the
/// connection. A connection that is opened during the partition never arrives.
class HoldingProxy : public QObject
{
public:
  HoldingProxy(QByteArray aName, quint16 aTarget);
  ~HoldingProxy() override;

  quint16 Port() const { return mServer.serverPort(); }
  void SetPartitioned(bool aIsPartitioned);

private:
  struct Link;

  void Accept();
  void Move(Link& aLink);

  QByteArray mName;
  quint16 mTarget = 0;
  QTcpServer mServer;
  bool mIsPartitioned = false;
  std::vector<std::shared_ptr<Link>> mLinks;
};

}
