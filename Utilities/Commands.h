#pragma once

#include "OperatorClient.h"

#include <chrono>

namespace papayaline {

/// What `apply` does after the change is stored.
enum class ApplyMode
{
  Return,
  WaitUntilInForce,
};

ExitCode
RunCheck(const std::string& aFile);

ExitCode
RunDiff(OperatorClient& aClient,
        const std::string& aFile,
        OutputFormat aFormat);

/// Stores the file as a whole or not at all. A lost answer is resolved by
/// reading the apply id back.
ExitCode
RunApply(OperatorClient& aClient,
         const std::string& aFile,
         ApplyMode aMode,
         std::chrono::seconds aTimeout,
         OutputFormat aFormat);

ExitCode
RunStatus(OperatorClient& aClient, OutputFormat aFormat);

ExitCode
RunDrain(OperatorClient& aClient, const std::string& aInstance);

/// Asks each instance until one that may replace the primary accepts.
ExitCode
RunSwitchover(OperatorClient& aClient, const std::string& aGroup);

/// Merges the events of all instances. aGroup may be empty for all groups.
ExitCode
RunTimeline(OperatorClient& aClient,
            std::chrono::seconds aSince,
            const std::string& aGroup,
            OutputFormat aFormat);

}
