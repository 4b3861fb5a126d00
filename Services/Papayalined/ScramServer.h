#pragma once

#include "LibCore/Result.h"

#include <QByteArray>

namespace papayaline {

/// The server side of one SCRAM-SHA-256 exchange (RFC 5802, RFC 7677). The user
/// name in the exchange is ignored, since PostgreSQL drivers leave it empty;
/// the start-up packet names the user. Thread safety: one thread.
class ScramServer
{
public:
  /// Precondition: aNonce is unpredictable and used once. With an empty
  /// password, Verify always fails.
  ScramServer(QByteArray aPassword, QByteArray aNonce, QByteArray aSalt);

  /// Returns the server-first-message for the client-first-message.
  /// Errors: ProtocolViolation.
  Result<QByteArray> Challenge(const QByteArray& aClientFirst);

  /// Verifies the proof in the client-final-message and returns the
  /// server-final-message.
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
