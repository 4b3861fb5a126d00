#pragma once

#include "LibCore/Result.h"
#include "LibDecision/LogPosition.h"

#include <QByteArray>
#include <QMap>
#include <optional>

namespace papayaline {

/// The settings of one caller's session that papayaline understands.
/// Thread safety: one thread.
class SessionParameters
{
public:
  /// Takes the parameters of a start-up packet, including "-c name=value" in
  /// "options". Errors: BadInput, NotSupported.
  Result<Done> TakeStartup(const QMap<QByteArray, QByteArray>& aParameters);

  /// Applies SET name = value; an empty value resets.
  /// Errors: BadInput, NotSupported for state of the database session.
  Result<Done> Set(const QByteArray& aName, const QByteArray& aValue);

  /// The value that SHOW answers; nothing for an unknown name.
  std::optional<QByteArray> Show(const QByteArray& aName) const;

  const QByteArray& User() const { return mUser; }
  const QByteArray& Group() const { return mGroup; }
  const QByteArray& ClassName() const { return mClass; }
  bool IsUnsafe() const { return mIsUnsafe; }
  const std::optional<LogPosition>& Token() const { return mToken; }
  /// The request id for the next write; it is used once.
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

/// A session token as callers carry it: "group/term/offset".
QByteArray
FormatToken(const QByteArray& aGroup, LogPosition aPosition);
/// Errors: BadInput.
Result<SessionToken>
ParseToken(const QByteArray& aText);

}
