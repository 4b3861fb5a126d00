#pragma once

#include "Workload.h"

#include <string>
#include <vector>

namespace papayaline {

/// What the result of a cell says.
struct CellResult
{
  /// One line a violation; empty when the cell passed.
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

/// Runs one cell: real processes under load, the fault at the step, healing,
/// and the checks. Returns a violation when the cell is unknown.
CellResult
RunCell(const std::string& aStep,
        const std::string& aFault,
        uint64_t aSeed,
        const QString& aLogDirectory);

}
