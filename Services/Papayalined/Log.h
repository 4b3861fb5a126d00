#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace papayaline {

enum class LogFormat
{
  Text,
  Json,
};

/// Sets the output format of all loggers of this process.
void
SetLogFormat(LogFormat aFormat);

/// Returns the logger of a component, whose name starts each of its lines.
/// Thread safety: any thread.
std::shared_ptr<spdlog::logger>
LoggerFor(const std::string& aComponent);

}
