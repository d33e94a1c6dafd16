#include <HeaderCodec.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Relay;

TEST_GROUP(LengthHint){
  static std::optional<std::int64_t> Decode(const char* aText){
    RequestHead head;
head.set("Token-Usage", "800,2000");
if (aText != nullptr) {
  head.set("Length-Hint", aText);
}
const CallerRequest request = HeaderCodec().mDecodeRequest(head);
LONGS_EQUAL(800, request.mPromptTokens);
LONGS_EQUAL(2000, request.mOutputTokens);
return request.mExpectedOutputTokens;
}
}
;

/// Guards against a text that is no estimate and is taken for a short answer,
/// and against numbers that overflow where work is summed.
TEST(LengthHint, OnlyAPositiveNumberIsAnEstimate)
{
  LONGS_EQUAL(340, Decode("340").value_or(-1));
  CHECK(Decode("9223372036854775807").value_or(-1) <= 1'000'000'000);
  for (const char* text : { "", "0", "-7", "12.5", "many", "3,4" }) {
    CHECK_FALSE(Decode(text).has_value());
  }
  CHECK_FALSE(Decode(nullptr).has_value());
}
