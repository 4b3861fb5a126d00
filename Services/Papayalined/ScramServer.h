#pragma once

#include "LibCore/Result.h"

#include <QByteArray>

namespace papayaline {

/// The server side of SCRAM-SHA-256 (RFC 5802, RFC 7677) for one exchange.
/// Callers send an empty user name within the exchange, as PostgreSQL drivers
/// do; the name of the start-up packet decides. Thread safety: one thread.
class ScramServer
{
public:
  /// aNonce must be fresh and unpredictable; an empty aPassword always fails.
  ScramServer(QByteArray aPassword, QByteArray aNonce, QByteArray aSalt);

  /// Answers the client's first message with the challenge.
  /// Errors: ProtocolViolation.
  Result<QByteArray> Challenge(const QByteArray& aClientFirst);

  /// Checks the client's proof and returns the server's signature.
  /// Errors: ProtocolViolation, AuthenticationFailed.
  Result<QByteArray> Verify(const QByteArray& aClientFinal);

private:
  QByteArray mPassword;
  QByteArray mNonce;
  QByteArray mSalt;
  QByteArray mClientFirstBare;
  QByteArray mServerFirst;
};

}
