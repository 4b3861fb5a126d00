#include "LibRelay/DirectoryView.h"

#include <algorithm>

namespace papayaline {

void
DirectoryView::Set(const DirectoryEntry& aEntry)
{
  auto& tracked = mEntries[aEntry.mMember.mName];
  tracked.mRemovedAt.reset();
  const auto& known = tracked.mEntry;
  const bool isEarlier =
    aEntry.mMember.mName == known.mMember.mName &&
    aEntry.mMember.mStartedMs == known.mMember.mStartedMs &&
    aEntry.mSequence < known.mSequence;
  if (!isEarlier) {
    tracked.mEntry = aEntry;
  }
}

void
DirectoryView::Remove(const std::string& aName, Instant aNow)
{
  const auto it = mEntries.find(aName);
  if (it != mEntries.end() && !it->second.mRemovedAt) {
    it->second.mRemovedAt = aNow;
  }
}

void
DirectoryView::Retain(const std::vector<std::string>& aNames, Instant aNow)
{
  for (const auto& [name, it] : mEntries) {
    if (std::ranges::find(aNames, name) == aNames.end()) {
      Remove(name, aNow);
    }
  }
}

bool
DirectoryView::HasPendingRemovals() const
{
  return std::ranges::any_of(
    mEntries, [](const auto& it) { return it.second.mRemovedAt.has_value(); });
}

std::vector<DirectoryEntry>
DirectoryView::Entries(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& it) {
    const auto& removedAt = it.second.mRemovedAt;
    return removedAt && aNow - *removedAt >= kRemovalDelay;
  });
  std::vector<DirectoryEntry> entries;
  std::ranges::transform(mEntries,
                         std::back_inserter(entries),
                         [](const auto& it) { return it.second.mEntry; });
  return entries;
}

}
