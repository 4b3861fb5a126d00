#pragma once

#include <QString>

namespace review {

enum class Result
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

/// Runs a case by its name, with or without its disruption.
Result
RunCase(const QString& aName, const QString& aRecordPath, bool aHasTrouble);

}
