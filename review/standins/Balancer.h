#pragma once

#include "Instance.h"

#include <QTimer>
#include <map>

namespace review {

/// The platform's ingress for one zone, as PROTOCOL.md describes it: each node
/// is asked once a second whether it is ready; after two misses it gets no new
/// connections; if fewer than half of the nodes are left, all are used.
class Balancer : public QObject
{
public:
  explicit Balancer(std::vector<Instance*> aNodes);

  /// The node for the next new connection.
  Instance& Choose();

private:
  void Probe(Instance* aNode);

  std::vector<Instance*> mNodes;
  std::map<Instance*, int> mMisses;
  size_t mNext = 0;
  QTimer mTimer;
};

}
