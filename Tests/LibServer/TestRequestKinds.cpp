#include <LibServer/RequestKinds.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

TEST_GROUP(RequestKinds){};

TEST(RequestKinds, NumberOfDistinctKindsIsLimited)
{
  RequestKinds kinds;
  STRCMP_EQUAL("summary", kinds.Normalize("summary").c_str());
  STRCMP_EQUAL("other", kinds.Normalize("Summary\n").c_str());
  STRCMP_EQUAL("other", kinds.Normalize(std::string(33, 'a')).c_str());
  int acceptedNames = 0;
  for (int number = 0; number < 1000; ++number) {
    const std::string name = "kind-" + std::to_string(number);
    acceptedNames += kinds.Normalize(name) == name ? 1 : 0;
  }
  LONGS_EQUAL(63, acceptedNames);
  STRCMP_EQUAL("summary", kinds.Normalize("summary").c_str());
}
