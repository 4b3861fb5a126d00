#pragma once

#include "LibCore/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace papayaline {

/// What the request path does with a statement.
enum class StatementKind
{
  Empty,
  Read,
  Write,
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Savepoint,
  Set,
  Show,
};

/// A statement with what the request path needs to know of it. For Set and
/// Show mName and mValue carry the parameter.
struct ClassifiedStatement
{
  StatementKind mKind = StatementKind::Write;
  std::string mName;
  std::string mValue;

  bool operator==(const ClassifiedStatement&) const = default;
};

/// Classifies one SQL statement. A statement is a read only when it is known
/// to be one; anything else counts as a write.
/// Errors: NotSupported for session state that can't live on a shared
/// connection (COPY, LISTEN, cursors, temporary tables, PREPARE) and for
/// several statements in one text. Pure; any thread.
Result<ClassifiedStatement>
ClassifyStatement(std::string_view aSql);

}
