#pragma once

#include <QFile>
#include <QString>
#include <functional>

namespace review {

/// Milliseconds of the steady clock since the program started.
double
NowMs();

/// Runs the event loop until the condition holds; returns whether it did within
/// the time.
bool
Await(const std::function<bool()>& aCondition, double aTimeoutMs);

/// Runs the event loop for a time.
void
Pause(double aMs);

/// What was sent, answered and run, one line an event, in record.txt.
class Record
{
public:
  explicit Record(const QString& aPath);

  void Write(const QString& aLine);

private:
  QFile mFile;
};

}
