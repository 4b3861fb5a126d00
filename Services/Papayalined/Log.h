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

/// Sets the format of all logs of this process.
void
SetLogFormat(LogFormat aFormat);

/// The logger of one part; its lines start with the part's name.
/// Thread safety: any thread.
std::shared_ptr<spdlog::logger>
LogOf(const std::string& aPart);

}
