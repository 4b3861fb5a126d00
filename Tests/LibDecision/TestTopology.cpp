#include "LibDecision/Topology.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace papayaline;

class TestTopology : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TestTopology);
  CPPUNIT_TEST(DomainsOfOneRegionAreNearerThanOthers);
  CPPUNIT_TEST(DomainOfUnknownRegionCountsAsNear);
  CPPUNIT_TEST_SUITE_END();

public:
  void DomainsOfOneRegionAreNearerThanOthers()
  {
    const Topology topology({ { "a", "east" }, { "b", "east" }, { "c", "w" } });
    CPPUNIT_ASSERT(topology.Between("a", "a") == Distance::SameDomain);
    CPPUNIT_ASSERT(topology.Between("a", "b") == Distance::SameRegion);
    CPPUNIT_ASSERT(topology.Between("a", "c") == Distance::OtherRegion);
  }

  void DomainOfUnknownRegionCountsAsNear()
  {
    CPPUNIT_ASSERT(Topology().Between("a", "b") == Distance::SameRegion);
    const Topology topology(
      std::map<std::string, std::string>{ { "a", "east" } });
    CPPUNIT_ASSERT(topology.Between("a", "b") == Distance::SameRegion);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTopology);
