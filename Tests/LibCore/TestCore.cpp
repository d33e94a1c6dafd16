#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibCore/Money.h>
#include <Acaciavale/LibCore/Random.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

TEST_GROUP(Core){};

TEST(Core, ChargesRoundUpToAWholeMicro)
{
  const TokenPrice price{ 150'000 };
  CHECK(Charge(price, 1) == Money{ 1 });
  CHECK(Charge(price, 0) == Money{ 0 });
  CHECK(Charge(price, 1'000'000) == Money{ 150'000 });
}

TEST(Core, FindingsAreSortedByPlaceWithoutDuplicates)
{
  const Findings findings = Sorted({ { { "b.ini", 2 }, "late" },
                                     { { "a.ini", 9 }, "early" },
                                     { { "b.ini", 2 }, "late" } });
  LONGS_EQUAL(2, findings.size());
  STRCMP_EQUAL("a.ini:9: early", Describe(findings[0]).c_str());
}

TEST(Core, RandomSequenceDependsOnlyOnTheSeed)
{
  Random left(7);
  Random right(7);
  for (int draw = 0; draw < 100; ++draw) {
    CHECK(left.Below(10) == right.Below(10));
    CHECK(left.Unit() < 1.0);
    right.Unit();
  }
}
