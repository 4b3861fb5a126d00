#pragma once

#include "OperatorClient.h"

#include <chrono>

namespace papayaline {

/// When `apply` returns after it stored the change.
enum class ApplyMode
{
  ReturnWhenStored,
  WaitUntilInForce,
};

ExitCode
RunCheck(const std::string& aFile);

ExitCode
RunDiff(OperatorClient& aClient,
        const std::string& aFile,
        OutputFormat aFormat);

/// Stores the file as a whole or not at all. If the platform's answer is lost,
/// reads back the apply ID to find the outcome.
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

/// Sends the request to one instance after the other until a failover
/// coordinator of the group accepts it.
ExitCode
RunSwitchover(OperatorClient& aClient, const std::string& aGroup);

/// Prints the events of all instances in causal order. An empty aGroup selects
/// all groups.
ExitCode
RunTimeline(OperatorClient& aClient,
            std::chrono::seconds aSince,
            const std::string& aGroup,
            OutputFormat aFormat);

}
