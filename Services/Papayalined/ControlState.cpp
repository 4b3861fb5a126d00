#include "ControlState.h"

#include <algorithm>

namespace papayaline {

ControlState::ControlState(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mConfiguration(std::make_shared<const Configuration>())
{
  PublishRouting();
}

std::shared_ptr<const Configuration>
ControlState::GetConfiguration() const
{
  std::lock_guard lock(mMutex);
  return mConfiguration;
}

bool
ControlState::ApplyConfigurationIfNewer(Configuration aConfiguration)
{
  {
    std::lock_guard lock(mMutex);
    if (aConfiguration.mVersion <= mConfiguration->mVersion) {
      return false;
    }
    mConfiguration =
      std::make_shared<const Configuration>(std::move(aConfiguration));
  }
  PublishRouting();
  Q_EMIT ConfigurationChanged();
  return true;
}

Membership
ControlState::GetMembership() const
{
  std::lock_guard lock(mMutex);
  return mMembership;
}

void
ControlState::SetMembership(std::vector<InstanceInfo> aInstances)
{
  {
    std::lock_guard lock(mMutex);
    if (mMembership.mInstances == aInstances) {
      return;
    }
    mMembership = { std::move(aInstances), mMembership.mRevision + 1 };
  }
  PublishRouting();
  Q_EMIT MembershipChanged();
}

void
ControlState::SetReports(const std::string& aGroup,
                         std::vector<UpstreamReport> aReports)
{
  std::lock_guard lock(mMutex);
  mReports[aGroup] = std::move(aReports);
}

std::vector<UpstreamReport>
ControlState::Reports(const std::string& aGroup) const
{
  std::lock_guard lock(mMutex);
  const auto it = mReports.find(aGroup);
  return it != mReports.end() ? it->second : std::vector<UpstreamReport>();
}

void
ControlState::SetDrainState(DrainState aState)
{
  mDrainState = aState;
  Q_EMIT DrainStateChanged();
}

void
ControlState::PublishRouting()
{
  std::lock_guard publishing(mPublishMutex);
  auto snapshot = std::make_unique<RoutingSnapshot>();
  {
    std::lock_guard lock(mMutex);
    snapshot->mConfiguration = mConfiguration;
    const auto live = std::ranges::count_if(
      mMembership.mInstances, [](const auto& it) { return !it.mIsLeaving; });
    snapshot->mLiveInstances =
      static_cast<unsigned>(std::max<ptrdiff_t>(live, 1));
  }
  mRouting.Publish(std::move(snapshot));
}

}
