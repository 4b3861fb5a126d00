#include "HoldingProxy.h"

#include "Record.h"

#include <QHostAddress>
#include <memory>

namespace review {

struct HoldingProxy::Link
{
  QTcpSocket* mNear = nullptr;
  QTcpSocket* mFar = nullptr;
  QByteArray mToFar;
  QByteArray mToNear;
  bool mHasNearEnded = false;
  bool mHasFarEnded = false;
  /// Opened during a partition.
  bool mIsLost = false;
};

HoldingProxy::HoldingProxy(QByteArray aName, quint16 aTarget)
  : mName(std::move(aName))
  , mTarget(aTarget)
{
  mServer.listen(QHostAddress::LocalHost);
  connect(&mServer, &QTcpServer::newConnection, this, [this] { Accept(); });
}

HoldingProxy::~HoldingProxy()
{
  for (const auto& it : mLinks) {
    if (it->mFar) {
      it->mFar->disconnect(this);
    }
  }
  for (auto* it : mServer.findChildren<QTcpSocket*>()) {
    it->disconnect(this);
  }
}

void
HoldingProxy::Accept()
{
  while (auto* near = mServer.nextPendingConnection()) {
    const auto link = std::make_shared<Link>();
    mLinks.push_back(link);
    link->mNear = near;
    link->mIsLost = mIsPartitioned;
    if (link->mIsLost) {
      continue;
    }
    link->mFar = new QTcpSocket(this);
    link->mFar->connectToHost(QHostAddress(QHostAddress::LocalHost), mTarget);
    connect(near, &QTcpSocket::readyRead, this, [=, this] {
      const auto bytes = near->readAll();
      if (mIsPartitioned) {
        Record(mName + ": held " + QByteArray::number(bytes.size()) +
               " bytes: " + bytes.left(bytes.indexOf("\r\n")));
      }
      link->mToFar += bytes;
      Move(*link);
    });
    connect(near, &QTcpSocket::errorOccurred, this, [=, this](auto) {
      const bool isReset = !near->errorString().contains("remote host closed",
                                                         Qt::CaseInsensitive);
      if (mIsPartitioned) {
        Record(mName + ": the instance " +
               (isReset ? "reset" : "closed (no reset)") + " a connection, " +
               QByteArray::number(link->mToFar.size()) + " bytes held");
      }
      if (isReset) {
        link->mToFar.clear();
      }
    });
    connect(near, &QTcpSocket::disconnected, this, [=, this] {
      link->mHasNearEnded = true;
      Move(*link);
    });
    connect(link->mFar, &QTcpSocket::readyRead, this, [=, this] {
      link->mToNear += link->mFar->readAll();
      Move(*link);
    });
    connect(link->mFar, &QTcpSocket::disconnected, this, [=, this] {
      link->mHasFarEnded = true;
      Move(*link);
    });
    connect(
      link->mFar, &QTcpSocket::connected, this, [=, this] { Move(*link); });
  }
}

void
HoldingProxy::Move(Link& aLink)
{
  if (mIsPartitioned || aLink.mIsLost ||
      (aLink.mFar->state() != QTcpSocket::ConnectedState &&
       !aLink.mHasFarEnded)) {
    return;
  }
  if (!aLink.mHasFarEnded) {
    aLink.mFar->write(std::exchange(aLink.mToFar, {}));
    aLink.mFar->flush();
    if (aLink.mHasNearEnded) {
      aLink.mFar->disconnectFromHost();
    }
  }
  if (!aLink.mHasNearEnded) {
    aLink.mNear->write(std::exchange(aLink.mToNear, {}));
    aLink.mNear->flush();
    if (aLink.mHasFarEnded) {
      aLink.mNear->disconnectFromHost();
    }
  }
}

void
HoldingProxy::SetPartitioned(bool aIsPartitioned)
{
  mIsPartitioned = aIsPartitioned;
  Record(mName + (aIsPartitioned ? ": partition begins" : ": partition ends"));
  const auto links = mLinks;
  for (const auto& it : links) {
    Move(*it);
  }
}

}
