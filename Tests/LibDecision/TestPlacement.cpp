#include "LibDecision/Placement.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace papayaline;

class TestPlacement : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestPlacement);
  CPPUNIT_TEST(CoordinatorsAreInDifferentDomains);
  CPPUNIT_TEST(CoordinatorsInstanceLostOthersKeepTheirOrder);
  CPPUNIT_TEST(CoordinatorsLeavingInstanceIsSkipped);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<InstanceInfo> Nine()
  {
    std::vector<InstanceInfo> instances;
    for (int it = 0; it < 9; ++it) {
      instances.push_back(
        { "i" + std::to_string(it), "d" + std::to_string(it % 3), "", false });
    }
    return instances;
  }

public:
  void CoordinatorsAreInDifferentDomains()
  {
    std::set<std::string> domains;
    for (const auto& it : ChooseFailoverCoordinators("g", Nine(), 3)) {
      domains.insert(it.mFailureDomain);
    }
    CPPUNIT_ASSERT_EQUAL(size_t(3), domains.size());
  }

  void CoordinatorsInstanceLostOthersKeepTheirOrder()
  {
    auto instances = Nine();
    const auto before = ChooseFailoverCoordinators("g", instances, 3);
    std::erase(instances, before[1]);
    const auto after = ChooseFailoverCoordinators("g", instances, 3);
    CPPUNIT_ASSERT(after[0] == before[0]);
  }

  void CoordinatorsLeavingInstanceIsSkipped()
  {
    auto instances = Nine();
    const auto first = ChooseFailoverCoordinators("g", instances, 3)[0];
    for (auto& it : instances) {
      it.mIsLeaving = it.mName == first.mName;
    }
    for (const auto& it : ChooseFailoverCoordinators("g", instances, 3)) {
      CPPUNIT_ASSERT(it.mName != first.mName);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlacement);
