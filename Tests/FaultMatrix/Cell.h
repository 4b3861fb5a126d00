#pragma once

#include "Workload.h"

#include <string>
#include <vector>

namespace papayaline {

/// The result of one cell of the fault matrix.
struct CellResult
{
  /// One line for each violation; empty if the cell passed.
  std::vector<std::string> mViolations;
  int mAcknowledged = 0;
  int mNotRun = 0;
  int mUnknown = 0;
  int64_t mLongestGapUs = 0;
};

/// The faults (rows) and the steps (columns) of the matrix.
const std::vector<std::string>&
FaultNames();
const std::vector<std::string>&
StepNames();

/// Runs one cell: starts the system under load, injects the fault during the
/// step, removes it, waits for writes to succeed again and checks the history.
/// An unknown step is reported as a violation.
CellResult
RunCell(const std::string& aStep,
        const std::string& aFault,
        uint64_t aSeed,
        const QString& aLogDirectory);

}
