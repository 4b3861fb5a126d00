#pragma once

#include "LibCore/Result.h"
#include "LibDecision/LogPosition.h"

#include <QByteArray>
#include <QMap>
#include <optional>

namespace papayaline {

/// The session parameters of one caller that papayaline interprets itself.
/// Thread safety: one thread.
class SessionParameters
{
public:
  /// Applies the parameters of a start-up packet, including "-c name=value" in
  /// "options". Errors: BadInput, NotSupported.
  Result<Done> ApplyStartup(const QMap<QByteArray, QByteArray>& aParameters);

  /// Applies SET name = value; an empty value resets the parameter. Errors:
  /// BadInput, NotSupported when the parameter is state of a database session.
  Result<Done> Set(const QByteArray& aName, const QByteArray& aValue);

  /// Returns the value for SHOW, or nothing for an unknown name.
  std::optional<QByteArray> Show(const QByteArray& aName) const;

  const QByteArray& User() const { return mUser; }
  const QByteArray& Group() const { return mGroup; }
  const QByteArray& ClassName() const { return mClass; }
  bool IsUnsafe() const { return mIsUnsafe; }
  const std::optional<LogPosition>& Token() const { return mToken; }
  /// Returns the request id for the next write and clears it.
  QByteArray TakeRequestId();

private:
  Result<Done> SetToken(const QByteArray& aValue);

  QByteArray mUser;
  QByteArray mGroup;
  QByteArray mClass;
  QByteArray mRequestId;
  bool mIsUnsafe = false;
  std::optional<LogPosition> mToken;
};

/// Formats a session token for callers: "group/term/offset".
QByteArray
FormatSessionToken(const QByteArray& aGroup, LogPosition aPosition);
/// Parses a session token from FormatSessionToken. Errors: BadInput.
Result<SessionToken>
ParseSessionToken(const QByteArray& aText);

}
