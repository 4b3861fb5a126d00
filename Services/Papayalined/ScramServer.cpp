#include "ScramServer.h"

#include <QByteArrayList>
#include <QCryptographicHash>
#include <QMessageAuthenticationCode>
#include <QPasswordDigestor>

namespace papayaline {

namespace {

constexpr int kIterations = 4096;
constexpr int kKeyBytes = 32;
constexpr auto kHash = QCryptographicHash::Sha256;

QByteArray
Hmac(const QByteArray& aKey, const QByteArray& aText)
{
  return QMessageAuthenticationCode::hash(aText, aKey, kHash);
}

/// Returns the value of an attribute, such as "r=...", of a SCRAM message, or
/// an empty array.
QByteArray
FindAttribute(const QByteArray& aMessage, char aName)
{
  for (const auto& it : aMessage.split(',')) {
    if (it.size() >= 2 && it[0] == aName && it[1] == '=') {
      return it.mid(2);
    }
  }
  return {};
}

QByteArray
Xor(QByteArray aLeft, const QByteArray& aRight)
{
  for (qsizetype it = 0; it < aLeft.size() && it < aRight.size(); ++it) {
    aLeft[it] = static_cast<char>(aLeft[it] ^ aRight[it]);
  }
  return aLeft;
}

/// Compares in constant time, so that the duration does not reveal the position
/// of the first difference.
bool
IsEqualConstantTime(const QByteArray& aLeft, const QByteArray& aRight)
{
  int difference = aLeft.size() == aRight.size() ? 0 : 1;
  for (qsizetype it = 0; it < std::min(aLeft.size(), aRight.size()); ++it) {
    difference |= aLeft[it] ^ aRight[it];
  }
  return difference == 0;
}

}

ScramServer::ScramServer(QByteArray aPassword,
                         QByteArray aNonce,
                         QByteArray aSalt)
  : mPassword(std::move(aPassword))
  , mNonce(std::move(aNonce))
  , mSalt(std::move(aSalt))
{
}

Result<QByteArray>
ScramServer::Challenge(const QByteArray& aClientFirst)
{
  // The GS2 header is "n,," or "y,,", because the server does not offer channel
  // binding.
  const auto headerEnd = aClientFirst.indexOf(",,");
  const auto clientNonce = FindAttribute(aClientFirst, 'r');
  if (headerEnd != 1 || (aClientFirst[0] != 'n' && aClientFirst[0] != 'y') ||
      clientNonce.isEmpty()) {
    return Error{ ErrorKind::ProtocolViolation, "malformed SCRAM message" };
  }
  mClientFirstBare = aClientFirst.mid(headerEnd + 2);
  mNonce = clientNonce + mNonce;
  mServerFirst = "r=" + mNonce + ",s=" + mSalt.toBase64() +
                 ",i=" + QByteArray::number(kIterations);
  return mServerFirst;
}

Result<QByteArray>
ScramServer::Verify(const QByteArray& aClientFinal)
{
  const auto proofStart = aClientFinal.lastIndexOf(",p=");
  if (proofStart < 0 || FindAttribute(aClientFinal, 'r') != mNonce) {
    return Error{ ErrorKind::ProtocolViolation, "malformed SCRAM message" };
  }
  const auto withoutProof = aClientFinal.left(proofStart);
  const auto proof = QByteArray::fromBase64(aClientFinal.mid(proofStart + 3));
  const auto salted = QPasswordDigestor::deriveKeyPbkdf2(
    kHash, mPassword, mSalt, kIterations, kKeyBytes);
  const auto storedKey =
    QCryptographicHash::hash(Hmac(salted, "Client Key"), kHash);
  const auto authMessage =
    mClientFirstBare + "," + mServerFirst + "," + withoutProof;
  const auto clientKey = Xor(proof, Hmac(storedKey, authMessage));
  if (mPassword.isEmpty() || proof.size() != kKeyBytes ||
      !IsEqualConstantTime(QCryptographicHash::hash(clientKey, kHash),
                           storedKey)) {
    return Error{ ErrorKind::AuthenticationFailed,
                  "password authentication failed" };
  }
  const auto signature = Hmac(Hmac(salted, "Server Key"), authMessage);
  return "v=" + signature.toBase64();
}

}
