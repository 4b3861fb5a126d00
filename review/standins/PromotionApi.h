#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <vector>

namespace review {

struct PromotionOrder
{
  QByteArray mHolder;
  quint64 mToken = 0;
  QByteArray mGroup;
  QByteArray mDatabase;
  qint64 mAtMs = 0;
};

/// The platform's promotion call, which doesn't check the fence.
class PromotionApi : public QObject
{
public:
  PromotionApi();

  quint16 Port() const { return mServer.serverPort(); }

  /// Returns the HTTP status for an order.
  std::function<int(const PromotionOrder&)> mOnOrder;
  std::vector<PromotionOrder> mOrders;

private:
  void Read(QTcpSocket* aSocket, QByteArray& aBuffer);

  QTcpServer mServer;
};

}
