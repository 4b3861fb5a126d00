#pragma once

#include <string>
#include <utility>
#include <vector>

namespace papayaline {

/// How much a line matters when there are too many.
enum class LogPriority
{
  /// One of very many; dropped first.
  Request,
  /// A change of what the process believes.
  Decision,
};

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// One JSON object a line on standard output. Lines beyond the rate are counted
/// instead, and the next line tells how many were dropped. Writing never blocks
/// the caller: a line that the output can't take at once is dropped.
/// Thread safety: any thread.
class StructuredLog
{
public:
  /// Lines a second and in one burst, of each priority. A failing statement
  /// takes about 300 bytes, so the volume stays below 30 KB a second.
  static constexpr double kLinesPerSecond = 50;
  static constexpr double kBurst = 200;

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
