#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A network path from one machine to one server, on a free port of 127.0.0.1.
///
/// While it is partitioned nothing passes in either direction. What was sent on
/// a connection that was open before stays on its way: it arrives once the
/// partition has ended, also when the sender has closed the connection in the
/// meantime, unless the sender reset it. Connections that were begun during the
/// partition are lost with all that was sent on them.
class Link
{
public:
  explicit Link(uint16_t aTargetPort);
  ~Link();

  uint16_t Port() const { return mPort; }
  void SetPartitioned(bool aIsPartitioned) { mIsPartitioned = aIsPartitioned; }

private:
  struct Pipe
  {
    int mClient = -1;
    int mServer = -1;
    bool mHasClientEnded = false;
    bool mHasServerEnded = false;
  };

  void Run();
  void Accept();
  /// Returns false once the connection has ended.
  static bool Forward(Pipe& aPipe);
  static bool WasReset(int aSocket);
  static bool Copy(int aFrom, int aTo, bool& aHasEnded);

  int mListener = -1;
  uint16_t mPort = 0;
  uint16_t mTargetPort = 0;
  std::atomic<bool> mIsPartitioned{ false };
  std::atomic<bool> mIsStopping{ false };
  std::vector<Pipe> mPipes;
  std::thread mThread;
};

/// A socket that listens on a free port of 127.0.0.1.
int
ListenOnLoopback(uint16_t& aPort);

}
