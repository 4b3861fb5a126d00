#include "CallerListener.h"

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>

namespace papayaline {

namespace {

constexpr int kListenBacklog = 1024;

}

CallerListener::CallerListener(CallerContext& aContext)
  : mContext(aContext)
{
  setMaxPendingConnections(kListenBacklog);
}

Result<Done>
CallerListener::Listen(const Address& aAddress)
{
  const QHostAddress host(QString::fromStdString(aAddress.mHost));
  if (!listen(host, aAddress.mPort)) {
    return Error{ ErrorKind::Unreachable,
                  "can't listen on " + aAddress.ToString() };
  }
  return Done{};
}

void
CallerListener::incomingConnection(qintptr aDescriptor)
{
  auto* worker = &mContext.mWorkers.NextWorker();
  auto* context = &mContext;
  QMetaObject::invokeMethod(
    worker, [=] { new CallerSession(*context, *worker, aDescriptor); });
}

Result<std::optional<QSslConfiguration>>
LoadTlsConfiguration(const Settings& aSettings)
{
  if (aSettings.mTlsCertificate.empty()) {
    return std::optional<QSslConfiguration>();
  }
  const auto chain = QSslCertificate::fromPath(
    QString::fromStdString(aSettings.mTlsCertificate));
  QFile keyFile(QString::fromStdString(aSettings.mTlsKey));
  if (!keyFile.open(QIODevice::ReadOnly)) {
    return Error{ ErrorKind::BadInput, "the TLS key file can't be read" };
  }
  const auto bytes = keyFile.readAll();
  QSslKey key(bytes, QSsl::Rsa);
  if (key.isNull()) {
    key = QSslKey(bytes, QSsl::Ec);
  }
  if (chain.isEmpty() || key.isNull()) {
    return Error{ ErrorKind::BadInput,
                  "the TLS certificate or key is not valid" };
  }
  auto configuration = QSslConfiguration::defaultConfiguration();
  configuration.setLocalCertificateChain(chain);
  configuration.setPrivateKey(key);
  configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
  return std::optional(configuration);
}

}
