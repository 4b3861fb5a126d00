#pragma once

#include "LibConfiguration/Configuration.h"

namespace papayaline {

/// Parses and validates an operator file: schema, unknown and duplicate keys,
/// duplicate names, and ranges. aFile is the name used in error messages.
/// Errors: BadInput; the message starts with file:line:column.
/// Thread safety: any thread.
Result<Configuration>
ParseOperatorFile(const std::string& aText, const std::string& aFile);

}
