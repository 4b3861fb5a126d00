#include "Log.h"

#include <spdlog/sinks/stdout_color_sinks.h>

namespace papayaline {

void
SetLogFormat(LogFormat aFormat)
{
  if (aFormat == LogFormat::Json) {
    spdlog::set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%e","part":"%n","level":"%l","text":"%v"})");
  } else {
    spdlog::set_pattern("%Y-%m-%d %H:%M:%S.%e %L %n: %v");
  }
}

std::shared_ptr<spdlog::logger>
LoggerFor(const std::string& aComponent)
{
  if (auto logger = spdlog::get(aComponent)) {
    return logger;
  }
  try {
    return spdlog::stderr_color_mt(aComponent);
  } catch (const spdlog::spdlog_ex&) {
    // Another thread has registered the logger in the meantime.
    return spdlog::get(aComponent);
  }
}

}
