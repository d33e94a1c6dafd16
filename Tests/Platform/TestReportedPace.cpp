#include <HeaderCodec.h>
#include <StoreCodec.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Relay;

/// The speed of endpoints in what they and other VMs state.
TEST_GROUP(ReportedPace){
  static std::optional<ReportedLoad> LoadOf(const std::string& aText){
    ResponseHead head;
head.result(200);
head.set("Attempt-Id", "a");
head.set("Replica-Load", aText);
CallerRequest request;
request.mId = "a";
return HeaderCodec().mDecodeResponse(head, request).mLoad;
}

static std::vector<LoadReport> Decoded(const std::string& aLoads)
{
  const auto query = DecodeSnapshotQuery(
    R"({"vm":"v","as-of":1,"evidence":{},"loads":)" + aLoads + "}");
  CHECK(query.has_value());
  return query->mLoads;
}
}
;

/// Guards against a figure that is dropped, or that makes the other figures
/// invalid, and against one that would take an endpoint out of the choice.
TEST(ReportedPace, IsTheFourthFigureOfTheHeader)
{
  CHECK((LoadOf("3,1,8,250") == ReportedLoad{ 3, 1, 8, 2.5 }));
  CHECK((LoadOf("3, 1, 8, 100, 7") == ReportedLoad{ 3, 1, 8, 1 }));
  for (const char* const text :
       { "3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-5", "3,1,8,nan" }) {
    CHECK((LoadOf(text) == ReportedLoad{ 3, 1, 8 }));
  }
  DOUBLES_EQUAL(kMaximumPace, *LoadOf("3,1,8,9000000000")->mPace, 0);
  DOUBLES_EQUAL(kMinimumPace, *LoadOf("3,1,8,1")->mPace, 0);
  CHECK(!LoadOf("3,1"));
}

/// Guards against a figure that other VMs do not receive.
TEST(ReportedPace, IsPartOfTheReportsBetweenVms)
{
  SnapshotQuery query;
  query.mVmName = "v";
  query.mLoads = { { "i-1", { 3, 1, 8, 2.5 }, std::chrono::milliseconds(7) },
                   { "i-2", { 3, 1, 8 }, std::chrono::milliseconds(7) } };
  const auto decoded = DecodeSnapshotQuery(EncodeSnapshotQuery(query));
  CHECK(decoded.has_value());
  CHECK(decoded->mLoads == query.mLoads);
}

/// Guards against reports that are rejected because an earlier build wrote them
/// without the figure, or another one wrote it in another way.
TEST(ReportedPace, MayBeMissingFromReports)
{
  CHECK((Decoded(R"([["i-1",3,1,8,7]])")[0].mLoad == ReportedLoad{ 3, 1, 8 }));
  CHECK(
    (Decoded(R"([["i-1",3,1,8,7,"x"]])")[0].mLoad == ReportedLoad{ 3, 1, 8 }));
  CHECK((Decoded(R"([["i-1",3,1,8,7,1e300,4]])")[0].mLoad ==
         ReportedLoad{ 3, 1, 8, kMaximumPace }));
}

/// Guards against a health path that breaks the first line of a request, and
/// against settings that are rejected because of it.
TEST(ReportedPace, TheHealthPathIsPartOfTheSettings)
{
  const auto pathOf = [](const std::string& aField) {
    const auto settings = DecodeSettings(
      R"({"version":1,"routes":[],"services":[{"name":"s")" + aField + "}]}");
    CHECK(settings.has_value());
    return settings->mPools.front().mHealthPath;
  };
  STRCMP_EQUAL("/health", pathOf(R"(,"health-path":"/health")").c_str());
  for (const char* const field : { "",
                                   R"(,"health-path":7)",
                                   R"(,"health-path":"")",
                                   R"(,"health-path":"health")",
                                   R"(,"health-path":"/a b")",
                                   R"(,"health-path":"/a\r\nb")" }) {
    STRCMP_EQUAL("", pathOf(field).c_str());
  }
}

/// Guards against a query that another endpoint answers in place of the one
/// that is meant, and against an answer of another process that counts.
TEST(ReportedPace, AHealthQueryNamesItsEndpoint)
{
  const WireCodec codec = HeaderCodec();
  const RequestHead query =
    codec.mEncodeHealthQuery("i-1", "127.0.0.1:7", "/health");
  CHECK(query.method() == boost::beast::http::verb::get);
  CHECK(query.target() == "/health");
  CHECK(query["Expect-Replica"] == "i-1");
  ResponseHead answer;
  answer.set("Replica-Load", "3,1,8,250");
  answer.result(200);
  CHECK((codec.mDecodeHealthAnswer(answer) ==
         HealthAnswer{ false, ReportedLoad{ 3, 1, 8, 2.5 } }));
  answer.result(421);
  CHECK(
    (codec.mDecodeHealthAnswer(answer) == HealthAnswer{ true, std::nullopt }));
  answer.result(500);
  CHECK((codec.mDecodeHealthAnswer(answer) == HealthAnswer{}));
}
