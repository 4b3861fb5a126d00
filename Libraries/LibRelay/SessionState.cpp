#include "LibRelay/SessionState.h"

#include <algorithm>

namespace papayaline {

namespace {

UpstreamCommand
SetCommand(const std::string& aName, const std::string& aValue)
{
  UpstreamCommand command;
  command.mForm = CommandForm::SetValue;
  command.mName = aName;
  command.mValue = aValue;
  return command;
}

UpstreamCommand
PrepareCommand(const PreparedShape& aShape, size_t aIndex)
{
  UpstreamCommand command;
  command.mForm = CommandForm::Prepare;
  command.mName = "p" + std::to_string(aIndex);
  command.mValue = aShape.mShape;
  command.mAccess = aShape.mAccess;
  return command;
}

}

/// A value can't be unset alone.
bool
LinkState::NeedsReset(const SessionState& aSession,
                      const std::optional<PreparedShape>& aShape) const
{
  const bool hasForeign = std::ranges::any_of(mValues, [&](const auto& it) {
    return !aSession.mValues.contains(it.first);
  });
  return hasForeign || (aShape && !mPrepared.contains(*aShape) &&
                        mPrepared.size() >= kMaxPrepared);
}

std::vector<UpstreamCommand>
LinkState::Preparation(const SessionState& aSession,
                       const std::optional<PreparedShape>& aShape) const
{
  std::vector<UpstreamCommand> commands;
  const bool isReset = NeedsReset(aSession, aShape);
  if (isReset) {
    UpstreamCommand reset;
    reset.mForm = CommandForm::Reset;
    commands.push_back(reset);
  }
  for (const auto& [name, value] : aSession.mValues) {
    const auto it = mValues.find(name);
    if (isReset || it == mValues.end() || it->second != value) {
      commands.push_back(SetCommand(name, value));
    }
  }
  if (aShape && (isReset || !mPrepared.contains(*aShape))) {
    commands.push_back(PrepareCommand(*aShape, isReset ? 0 : mPrepared.size()));
  }
  return commands;
}

size_t
LinkState::Distance(const SessionState& aSession) const
{
  return Preparation(aSession, std::nullopt).size();
}

void
LinkState::OnAcknowledged(const UpstreamCommand& aCommand)
{
  switch (aCommand.mForm) {
    case CommandForm::Reset:
      mValues.clear();
      mPrepared.clear();
      return;
    case CommandForm::SetValue:
      mValues[aCommand.mName] = aCommand.mValue;
      return;
    case CommandForm::Prepare:
      mPrepared[{ aCommand.mAccess, aCommand.mValue }] = aCommand.mName;
      return;
    default:
      return;
  }
}

const std::string&
LinkState::NameOf(const PreparedShape& aShape) const
{
  return mPrepared.at(aShape);
}

}
