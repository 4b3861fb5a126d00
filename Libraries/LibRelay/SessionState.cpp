#include "LibRelay/SessionState.h"

#include <algorithm>

namespace papayaline {

namespace {

UpstreamCommand
SetCommand(const std::string& aName, const std::string& aValue)
{
  UpstreamCommand command;
  command.mType = CommandType::SetValue;
  command.mName = aName;
  command.mValue = aValue;
  return command;
}

UpstreamCommand
PrepareCommand(const PreparedQuery& aQuery, size_t aIndex)
{
  UpstreamCommand command;
  command.mType = CommandType::Prepare;
  command.mName = "p" + std::to_string(aIndex);
  command.mValue = aQuery.mText;
  command.mAccess = aQuery.mAccess;
  return command;
}

}

std::optional<LogPosition>
SessionState::LastWriteIn(const std::string& aGroup) const
{
  const auto it = mLastWrites.find(aGroup);
  return it != mLastWrites.end() ? std::optional(it->second) : std::nullopt;
}

void
SessionState::RecordWrite(const std::string& aGroup, LogPosition aPosition)
{
  auto& last = mLastWrites[aGroup];
  last = std::max(last, aPosition);
}

/// A single session variable can't be unset, so a variable of another session
/// requires a reset of the connection.
bool
UpstreamSessionState::NeedsReset(
  const SessionState& aSession,
  const std::optional<PreparedQuery>& aQuery) const
{
  const bool hasForeign = std::ranges::any_of(mValues, [&](const auto& it) {
    return !aSession.mValues.contains(it.first);
  });
  return hasForeign || (aQuery && !mPrepared.contains(*aQuery) &&
                        mPrepared.size() >= kMaxPrepared);
}

std::vector<UpstreamCommand>
UpstreamSessionState::PreparationCommands(
  const SessionState& aSession,
  const std::optional<PreparedQuery>& aQuery) const
{
  std::vector<UpstreamCommand> commands;
  const bool isReset = NeedsReset(aSession, aQuery);
  if (isReset) {
    UpstreamCommand reset;
    reset.mType = CommandType::Reset;
    commands.push_back(reset);
  }
  for (const auto& [name, value] : aSession.mValues) {
    const auto it = mValues.find(name);
    if (isReset || it == mValues.end() || it->second != value) {
      commands.push_back(SetCommand(name, value));
    }
  }
  if (aQuery && (isReset || !mPrepared.contains(*aQuery))) {
    commands.push_back(PrepareCommand(*aQuery, isReset ? 0 : mPrepared.size()));
  }
  return commands;
}

size_t
UpstreamSessionState::PreparationCount(const SessionState& aSession) const
{
  return PreparationCommands(aSession, std::nullopt).size();
}

void
UpstreamSessionState::OnAcknowledged(const UpstreamCommand& aCommand)
{
  switch (aCommand.mType) {
    case CommandType::Reset:
      mValues.clear();
      mPrepared.clear();
      return;
    case CommandType::SetValue:
      mValues[aCommand.mName] = aCommand.mValue;
      return;
    case CommandType::Prepare:
      mPrepared[{ aCommand.mAccess, aCommand.mValue }] = aCommand.mName;
      return;
    default:
      return;
  }
}

const std::string&
UpstreamSessionState::StatementNameOf(const PreparedQuery& aQuery) const
{
  return mPrepared.at(aQuery);
}

}
