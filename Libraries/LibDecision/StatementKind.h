#pragma once

#include "LibCore/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace papayaline {

/// The kind of a statement, which determines how the request path handles it.
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

/// The result of classifying a statement. For Set and Show, mName and mValue
/// contain the parameter.
struct ClassifiedStatement
{
  StatementKind mKind = StatementKind::Write;
  std::string mName;
  std::string mValue;

  bool operator==(const ClassifiedStatement&) const = default;
};

/// Classifies one SQL statement. A statement that is not known to be a read is
/// classified as a write.
/// Errors: NotSupported for statements that depend on session state, which a
/// shared connection can't keep (COPY, LISTEN, cursors, temporary tables,
/// PREPARE), and for several statements in one text. Pure; any thread.
Result<ClassifiedStatement>
ClassifyStatement(std::string_view aSql);

}
