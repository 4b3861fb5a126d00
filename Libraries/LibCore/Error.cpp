#include "LibCore/Error.h"

#include <algorithm>
#include <array>

namespace papayaline {

namespace {

constexpr std::array kErrorProperties = {
  ErrorProperties{ ErrorKind::BadInput, "bad-input", "42601", Outcome::NotRun },
  ErrorProperties{ ErrorKind::NotSupported,
                   "not-supported",
                   "0A000",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::AuthenticationFailed,
                   "authentication-failed",
                   "28P01",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::ProtocolViolation,
                   "protocol-violation",
                   "08P01",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::MessageTooLarge,
                   "message-too-large",
                   "54000",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::UnknownGroup,
                   "unknown-group",
                   "3D000",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::NoUpstream,
                   "no-upstream",
                   "57P03",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::TooStale, "too-stale", "57P03", Outcome::NotRun },
  ErrorProperties{ ErrorKind::QueueFull,
                   "queue-full",
                   "53300",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::DeadlinePassed,
                   "deadline-passed",
                   "57P03",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::WriteNotRun,
                   "write-not-run",
                   "40001",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::OutcomeUnknown,
                   "outcome-unknown",
                   "08007",
                   Outcome::Unknown },
  ErrorProperties{ ErrorKind::RequestIdReused,
                   "request-id-reused",
                   "23505",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::UpstreamLost,
                   "upstream-lost",
                   "57P03",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::ShuttingDown,
                   "shutting-down",
                   "57P01",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::Cancelled,
                   "cancelled",
                   "57014",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::Conflict, "conflict", "40001", Outcome::NotRun },
  ErrorProperties{ ErrorKind::NotFound, "not-found", "42704", Outcome::NotRun },
  ErrorProperties{ ErrorKind::Unreachable,
                   "unreachable",
                   "57P03",
                   Outcome::Unknown },
  ErrorProperties{ ErrorKind::NotPrimary,
                   "not-primary",
                   "25006",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::WrongUpstream,
                   "wrong-upstream",
                   "57P03",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::ConnectionLimit,
                   "connection-limit",
                   "53300",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::StatementFailed,
                   "statement-failed",
                   "XX000",
                   Outcome::Unknown },
  ErrorProperties{ ErrorKind::StatementTimeout,
                   "statement-timeout",
                   "57014",
                   Outcome::Unknown },
  ErrorProperties{ ErrorKind::QuotaExceeded,
                   "quota-exceeded",
                   "53400",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::AuthorityExpired,
                   "authority-expired",
                   "57P03",
                   Outcome::NotRun },
  ErrorProperties{ ErrorKind::Internal, "internal", "XX000", Outcome::Unknown },
};

}

const ErrorProperties&
AnswerFor(ErrorKind aKind)
{
  const auto* it =
    std::ranges::find(kErrorProperties, aKind, &ErrorProperties::mKind);
  return it != kErrorProperties.end() ? *it : kErrorProperties.back();
}

}
