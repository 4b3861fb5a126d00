#include "LibCore/Error.h"

#include <algorithm>
#include <array>

namespace papayaline {

namespace {

constexpr std::array kAnswers = {
  ErrorAnswer{ ErrorKind::BadInput, "bad-input", "42601", Outcome::NotRun },
  ErrorAnswer{ ErrorKind::NotSupported,
               "not-supported",
               "0A000",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::AuthenticationFailed,
               "authentication-failed",
               "28P01",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::ProtocolViolation,
               "protocol-violation",
               "08P01",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::MessageTooLarge,
               "message-too-large",
               "54000",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::UnknownGroup,
               "unknown-group",
               "3D000",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::NoUpstream, "no-upstream", "57P03", Outcome::NotRun },
  ErrorAnswer{ ErrorKind::TooStale, "too-stale", "57P03", Outcome::NotRun },
  ErrorAnswer{ ErrorKind::QueueFull, "queue-full", "53300", Outcome::NotRun },
  ErrorAnswer{ ErrorKind::DeadlinePassed,
               "deadline-passed",
               "57P03",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::WriteNotRun,
               "write-not-run",
               "40001",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::OutcomeUnknown,
               "outcome-unknown",
               "08007",
               Outcome::Unknown },
  ErrorAnswer{ ErrorKind::RequestIdReused,
               "request-id-reused",
               "23505",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::UpstreamLost,
               "upstream-lost",
               "57P03",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::ShuttingDown,
               "shutting-down",
               "57P01",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::Cancelled, "cancelled", "57014", Outcome::NotRun },
  ErrorAnswer{ ErrorKind::Conflict, "conflict", "40001", Outcome::NotRun },
  ErrorAnswer{ ErrorKind::NotFound, "not-found", "42704", Outcome::NotRun },
  ErrorAnswer{ ErrorKind::Unreachable,
               "unreachable",
               "57P03",
               Outcome::Unknown },
  ErrorAnswer{ ErrorKind::NotPrimary, "not-primary", "25006", Outcome::NotRun },
  ErrorAnswer{ ErrorKind::WrongUpstream,
               "wrong-upstream",
               "57P03",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::ConnectionLimit,
               "connection-limit",
               "53300",
               Outcome::NotRun },
  ErrorAnswer{ ErrorKind::StatementFailed,
               "statement-failed",
               "XX000",
               Outcome::Unknown },
  ErrorAnswer{ ErrorKind::StatementTimeout,
               "statement-timeout",
               "57014",
               Outcome::Unknown },
  ErrorAnswer{ ErrorKind::Internal, "internal", "XX000", Outcome::Unknown },
};

}

const ErrorAnswer&
AnswerFor(ErrorKind aKind)
{
  const auto* it = std::ranges::find(kAnswers, aKind, &ErrorAnswer::mKind);
  return it != kAnswers.end() ? *it : kAnswers.back();
}

}
