#include "SessionParameters.h"

#include <algorithm>
#include <array>
#include <utility>

namespace papayaline {

namespace {

/// Parameters that drivers set at connect and whose SET is accepted without
/// effect, since shared connections keep their own value. The second element is
/// the prefix that a normalized value must have; an empty one allows any value.
constexpr std::array<std::pair<const char*, const char*>, 9>
  kIgnoredParameters = { {
    { "application_name", "" },
    { "client_encoding", "utf8" },
    { "standard_conforming_strings", "on" },
    { "extra_float_digits", "" },
    { "datestyle", "iso" },
    { "client_min_messages", "" },
    { "intervalstyle", "" },
    { "timezone", "utc" },
    { "statement_timeout", "0" },
  } };

QByteArray
Normalized(QByteArray aValue)
{
  aValue = aValue.toLower();
  aValue.replace("-", "");
  return aValue;
}

Result<Done>
CheckIgnored(const QByteArray& aName, const QByteArray& aValue)
{
  const auto* it = std::ranges::find_if(
    kIgnoredParameters, [&](const auto& aIt) { return aName == aIt.first; });
  const bool isAccepted =
    it != kIgnoredParameters.end() &&
    (aValue.isEmpty() || Normalized(aValue).startsWith(it->second));
  if (isAccepted) {
    return Done{};
  }
  return Error{ ErrorKind::NotSupported,
                "SET " + aName.toStdString() +
                  " needs session state, which a shared connection can't "
                  "keep" };
}

}

QByteArray
FormatSessionToken(const QByteArray& aGroup, LogPosition aPosition)
{
  return aGroup + "/" + QByteArray::number(quint64(aPosition.mTerm)) + "/" +
         QByteArray::number(quint64(aPosition.mOffset));
}

Result<SessionToken>
ParseSessionToken(const QByteArray& aText)
{
  const auto parts = aText.split('/');
  bool isTermValid = false;
  bool isOffsetValid = false;
  SessionToken token;
  if (parts.size() == 3) {
    token.mGroup = parts[0].toStdString();
    token.mPosition = { parts[1].toULongLong(&isTermValid),
                        parts[2].toULongLong(&isOffsetValid) };
  }
  if (!isTermValid || !isOffsetValid) {
    return Error{ ErrorKind::BadInput, "malformed session token" };
  }
  return token;
}

Result<Done>
SessionParameters::ApplyStartup(const QMap<QByteArray, QByteArray>& aParameters)
{
  mUser = aParameters.value("user");
  mGroup = aParameters.value("database", mUser);
  for (auto it = aParameters.begin(); it != aParameters.end(); ++it) {
    if (it.key().startsWith("papayaline.")) {
      PL_TRY(Set(it.key(), it.value()));
    }
  }
  const auto words = aParameters.value("options").simplified().split(' ');
  for (qsizetype it = 0; it < words.size(); ++it) {
    auto word = words[it];
    if (word == "-c" && it + 1 < words.size()) {
      word = words[++it];
    } else if (word.startsWith("-c")) {
      word = word.mid(2);
    } else if (word.startsWith("--")) {
      word = word.mid(2);
    } else {
      continue;
    }
    const auto equals = word.indexOf('=');
    PL_TRY(Set(word.left(equals).toLower(), word.mid(equals + 1)));
  }
  return Done{};
}

Result<Done>
SessionParameters::Set(const QByteArray& aName, const QByteArray& aValue)
{
  if (aName == "papayaline.class") {
    mClass = aValue;
  } else if (aName == "papayaline.request_id") {
    mRequestId = aValue;
  } else if (aName == "papayaline.unsafe") {
    const auto value = aValue.toLower();
    mIsUnsafe = value == "on" || value == "true" || value == "1";
  } else if (aName == "papayaline.session_token") {
    return SetToken(aValue);
  } else {
    return CheckIgnored(aName, aValue);
  }
  return Done{};
}

Result<Done>
SessionParameters::SetToken(const QByteArray& aValue)
{
  if (aValue.isEmpty()) {
    mToken.reset();
    return Done{};
  }
  const auto token = PL_TRY(ParseSessionToken(aValue));
  if (token.mGroup != mGroup.toStdString()) {
    return Error{ ErrorKind::BadInput,
                  "the session token belongs to another group" };
  }
  mToken = token.mPosition;
  return Done{};
}

std::optional<QByteArray>
SessionParameters::Show(const QByteArray& aName) const
{
  if (aName == "papayaline.class") {
    return mClass;
  }
  if (aName == "papayaline.unsafe") {
    return mIsUnsafe ? "on" : "off";
  }
  if (aName == "papayaline.session_token") {
    return mToken ? FormatSessionToken(mGroup, *mToken) : QByteArray();
  }
  return std::nullopt;
}

QByteArray
SessionParameters::TakeRequestId()
{
  return std::exchange(mRequestId, {});
}

}
