#include <LibServer/RequestKinds.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

TEST_GROUP(RequestKinds){};

TEST(RequestKinds, NamesOfCallersCannotGrowWithoutBound)
{
  RequestKinds kinds;
  STRCMP_EQUAL("summary", kinds.Known("summary").c_str());
  STRCMP_EQUAL("other", kinds.Known("Summary\n").c_str());
  STRCMP_EQUAL("other", kinds.Known(std::string(33, 'a')).c_str());
  int kept = 0;
  for (int number = 0; number < 1000; ++number) {
    const std::string name = "kind-" + std::to_string(number);
    kept += kinds.Known(name) == name ? 1 : 0;
  }
  LONGS_EQUAL(63, kept);
  STRCMP_EQUAL("summary", kinds.Known("summary").c_str());
}
