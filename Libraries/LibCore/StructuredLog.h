#pragma once

#include <string>
#include <utility>
#include <vector>

namespace papayaline {

/// The priority of a log line; each priority has its own rate limit.
enum class LogPriority
{
  /// The outcome of a single request. These lines are frequent, and their own
  /// limit keeps a flood of them from displacing decisions.
  Request,
  /// A decision of the process, or a change of its view of the system.
  Decision,
};

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Writes one JSON object per line to standard output. Lines beyond the rate
/// limit are dropped and counted, and the next line of the same priority
/// carries the count. Writing never blocks the calling thread: when standard
/// output can't accept a line immediately, the line is dropped. Thread safety:
/// any thread.
class StructuredLog
{
public:
  /// Rate limit and burst size of each priority. The line of a failing
  /// statement takes about 300 bytes, so the volume stays below 30 KB per
  /// second.
  static constexpr double kLinesPerSecond = 50;
  static constexpr double kBurstLines = 200;

  static StructuredLog& Instance();

  void SetInstanceName(const std::string& aName);
  void Write(LogPriority aPriority,
             const std::string& aEvent,
             const LogFields& aFields);

private:
  struct State;
  StructuredLog();
  ~StructuredLog();

  State* mState;
};

}
