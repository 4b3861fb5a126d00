#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace review {

/// One end of a connection that the network carries. Bytes wait while the link
/// between the two machines is cut, and arrive when it has healed: also those
/// of a connection that its other end has closed meanwhile. Bytes of one that
/// was reset are lost.
class Pipe : public QObject
{
public:
  Pipe(QTcpSocket* aSocket, const bool& aIsCut);
  ~Pipe() override;

  /// Receives the bytes that arrived.
  std::function<void(const QByteArray&)> mOnBytes;
  /// Called once when the connection has ended, after its last bytes.
  std::function<void()> mOnEnd;

  void Send(const QByteArray& aBytes);
  /// Ends the connection from this side.
  void Close();
  /// Delivers what waits, if the link is not cut.
  void Deliver();
  bool HasEnded() const { return mHasEnded; }

  const bool& mIsCut;

private:
  /// Whether the other end has reset the connection, rather than closed it.
  bool WasReset() const;
  void CloseDescriptor();

  /// Opened while the link was cut: the other end had no connection yet, so
  /// what it wrote and gave up again was never sent.
  const bool mWasOpenedCut;
  QTcpSocket* mSocket;
  /// A second descriptor of the socket, since Qt closes its own before it tells
  /// that the connection has ended.
  int mDescriptor = -1;
  QByteArray mIncoming;
  QByteArray mOutgoing;
  bool mIsClosedThere = false;
  bool mHasEnded = false;
};

/// The links between machines, each of which can be cut. Machines are named;
/// instances reach a server at a port of their own, so that the link is known.
class Network : public QObject
{
public:
  using Acceptor = std::function<void(std::shared_ptr<Pipe>)>;

  /// Opens a loopback port at which aInstance reaches aServer.
  quint16 Listen(const std::string& aInstance,
                 const std::string& aServer,
                 Acceptor aAcceptor);
  /// Closes the ports of a server that has crashed, or opens them again.
  void SetListening(const std::string& aServer, bool aIsListening);
  void Cut(const std::string& aOne, const std::string& aOther);
  /// Heals all links.
  void Heal();
  bool IsCut(const std::string& aOne, const std::string& aOther) const;

private:
  using Link = std::pair<std::string, std::string>;
  struct Port
  {
    std::string mServer;
    std::unique_ptr<QTcpServer> mServerSocket;
    quint16 mPort = 0;
  };

  static Link LinkOf(const std::string& aOne, const std::string& aOther);

  /// Stable addresses: pipes refer to the values.
  std::map<Link, bool> mIsCut;
  std::vector<Port> mPorts;
  std::vector<std::weak_ptr<Pipe>> mPipes;
};

}
