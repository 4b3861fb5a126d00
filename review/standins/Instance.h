#pragma once

#include <QProcess>
#include <QTemporaryDir>

namespace review {

struct InstanceSettings
{
  QByteArray mName;
  QByteArray mZone;
  quint16 mStorePort = 0;
  quint16 mPromotionPort = 0;
};

/// A papayalined process, started by the command of the deploy file with
/// settings as its template makes them. It starts again when it ends by itself.
class Instance : public QObject
{
public:
  explicit Instance(InstanceSettings aSettings);
  ~Instance() override;

  void Start();
  void Stop();
  void SendSignal(int aSignal);
  bool IsReady() const;

  InstanceSettings mSettings;
  quint16 mCallerPort = 0;
  quint16 mReadyPort = 0;
  quint16 mMetricsPort = 0;
  quint16 mPeerPort = 0;
  /// How often the process ended without having been told to.
  int mOwnEnds = 0;

private:
  void WriteSettings();

  QTemporaryDir mDirectory;
  QProcess mProcess;
  bool mIsStopping = false;
};

/// A port that nothing listens on, below the kernel's ephemeral ports.
quint16
FreePort();

}
