#include "Link.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kPollMs = 2;

sockaddr_in
Loopback(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void
CloseWithReset(int aSocket)
{
  const linger now{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(aSocket);
}

bool
IsReadable(int aSocket)
{
  pollfd it{ aSocket, POLLIN, 0 };
  return poll(&it, 1, 0) > 0;
}

}

int
ListenOnLoopback(uint16_t& aPort)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Loopback(0);
  socklen_t size = sizeof(address);
  if (listener < 0 ||
      bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener, 1024) != 0) {
    std::abort();
  }
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  fcntl(listener, F_SETFL, O_NONBLOCK);
  aPort = ntohs(address.sin_port);
  return listener;
}

Link::Link(uint16_t aTargetPort)
  : mTargetPort(aTargetPort)
{
  mListener = ListenOnLoopback(mPort);
  mThread = std::thread([this] { Run(); });
}

Link::~Link()
{
  mIsStopping = true;
  mThread.join();
  for (const auto& it : mPipes) {
    CloseWithReset(it.mClient);
    CloseWithReset(it.mServer);
  }
  close(mListener);
}

void
Link::Run()
{
  bool wasPartitioned = false;
  while (!mIsStopping) {
    usleep(kPollMs * 1000);
    if (mIsPartitioned) {
      wasPartitioned = true;
      continue;
    }
    if (wasPartitioned) {
      wasPartitioned = false;
      // These were begun during the partition.
      int lost = -1;
      while ((lost = accept(mListener, nullptr, nullptr)) >= 0) {
        CloseWithReset(lost);
      }
    }
    Accept();
    std::erase_if(mPipes, [](Pipe& aPipe) { return !Forward(aPipe); });
  }
}

void
Link::Accept()
{
  int client = -1;
  while ((client = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = Loopback(mTargetPort);
    if (connect(server,
                reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      CloseWithReset(client);
      close(server);
      continue;
    }
    const int isOn = 1;
    for (const int it : { client, server }) {
      setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    }
    mPipes.push_back({ client, server, false, false });
  }
}

bool
Link::WasReset(int aSocket)
{
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(aSocket, SOL_SOCKET, SO_ERROR, &error, &size);
  return error != 0;
}

/// Returns false when the connection was reset.
bool
Link::Copy(int aFrom, int aTo, bool& aHasEnded)
{
  char buffer[65536];
  while (!aHasEnded && IsReadable(aFrom)) {
    const auto n = recv(aFrom, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (n < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    if (n == 0) {
      aHasEnded = true;
      shutdown(aTo, SHUT_WR);
      return true;
    }
    for (ssize_t sent = 0; sent < n;) {
      const auto written =
        send(aTo, buffer + sent, static_cast<size_t>(n - sent), MSG_NOSIGNAL);
      if (written <= 0) {
        return false;
      }
      sent += written;
    }
  }
  return true;
}

bool
Link::Forward(Pipe& aPipe)
{
  const bool isReset = WasReset(aPipe.mClient) || WasReset(aPipe.mServer);
  const bool isAlive =
    !isReset && Copy(aPipe.mClient, aPipe.mServer, aPipe.mHasClientEnded) &&
    Copy(aPipe.mServer, aPipe.mClient, aPipe.mHasServerEnded);
  if (!isAlive) {
    CloseWithReset(aPipe.mClient);
    CloseWithReset(aPipe.mServer);
    return false;
  }
  if (aPipe.mHasClientEnded && aPipe.mHasServerEnded) {
    close(aPipe.mClient);
    close(aPipe.mServer);
    return false;
  }
  return true;
}

}
