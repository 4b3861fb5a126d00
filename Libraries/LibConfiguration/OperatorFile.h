#pragma once

#include "LibConfiguration/Configuration.h"

namespace papayaline {

/// Checks an operator file: schema, unknown and duplicate keys, references and
/// ranges. Errors: BadInput, starting with file:line:column.
/// Thread safety: any thread.
Result<Configuration>
ParseOperatorFile(const std::string& aText, const std::string& aFile);

}
