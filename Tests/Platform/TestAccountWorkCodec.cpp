#include <StoreCodec.h>

#include <CppUTest/TestHarness.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Relay;

namespace {

SnapshotQuery Query(std::optional<AccountWorkReport> aWork)
{
  SnapshotQuery query;
  query.mVmName = "vm-1";
  query.mAccountWork = std::move(aWork);
  return query;
}

/// A query with the given text as its account work.
std::string QueryWith(const std::string& aAccountWork)
{
  std::string text = EncodeSnapshotQuery(Query(AccountWorkReport{}));
  const std::string empty = "\"account-work\":[]";
  return text.replace(
    text.find(empty), empty.size(), "\"account-work\":" + aAccountWork);
}

} // namespace

TEST_GROUP(AccountWorkCodec){};

TEST(AccountWorkCodec, WorkSurvivesQueryAndAnswer)
{
  const AccountWorkReport report{ { "desk", "a", 12.345 },
                                  { "desk", "b", 0.002 },
                                  { "tags", "a", 0.001 } };
  CHECK(DecodeSnapshotQuery(EncodeSnapshotQuery(Query(report)))->mAccountWork ==
        report);
  SnapshotAnswer answer;
  answer.mAccountWork = report;
  CHECK(DecodeSnapshotAnswer(EncodeSnapshotAnswer(answer))->mAccountWork ==
        report);
}

/// Guards against a fleet that no longer shares snapshots while some of its VMs
/// run a build without account work. Absence also differs from no work.
TEST(AccountWorkCodec, AbsenceIsAccepted)
{
  const std::string without = EncodeSnapshotQuery(Query(std::nullopt));
  CHECK(without.find("account-work") == std::string::npos);
  const auto query = DecodeSnapshotQuery(without);
  CHECK(query.has_value());
  CHECK_FALSE(query->mAccountWork.has_value());
  CHECK(DecodeSnapshotQuery(QueryWith("[]"))->mAccountWork ==
        AccountWorkReport{});
  CHECK_FALSE(DecodeSnapshotQuery(QueryWith("null"))->mAccountWork.has_value());
  const auto answer = DecodeSnapshotAnswer(EncodeSnapshotAnswer({}));
  CHECK(answer.has_value());
  CHECK_FALSE(answer->mAccountWork.has_value());
}

/// Guards against work that is negative, no number or beyond all bounds, which
/// would turn the order of a queue round for as long as it counts. Elements
/// that a later build adds are ignored.
TEST(AccountWorkCodec, OddValuesAreRejected)
{
  for (const char* work : { "[[\"desk\",\"a\",-1]]",
                            "[[\"desk\",\"a\",1e18]]",
                            "[[\"desk\",\"a\",1e999]]",
                            "[[\"desk\",\"a\",\"1\"]]",
                            "[[\"desk\",\"a\",null]]",
                            "[[\"desk\",\"a\"]]",
                            "[[\"desk\",7,1]]",
                            "[[null,\"a\",1]]",
                            "[7]",
                            "{}",
                            "7" }) {
    CHECK_FALSE(DecodeSnapshotQuery(QueryWith(work)).has_value());
  }
  const std::string longName(200, 'a');
  CHECK_FALSE(
    DecodeSnapshotQuery(QueryWith("[[\"desk\",\"" + longName + "\",1]]"))
      .has_value());
  CHECK(
    DecodeSnapshotQuery(QueryWith("[[\"desk\",\"a\",1,\"new\"]]")).has_value());
}

/// Guards against messages that grow with the number of accounts, at a reader
/// that answers 16 VMs about once per second.
TEST(AccountWorkCodec, SizeIsBounded)
{
  AccountWorkReport report;
  for (int account = 0; account < 1000; ++account) {
    report.push_back(
      { "model-pool", "account-" + std::to_string(1000 + account), 1.234 });
  }
  const std::size_t without = EncodeSnapshotQuery(Query(std::nullopt)).size();
  const std::string text = EncodeSnapshotQuery(Query(report));
  CHECK(text.size() - without < 1024);
  UNSIGNED_LONGS_EQUAL(kMaximumReportedAccounts,
                       DecodeSnapshotQuery(text)->mAccountWork->size());
  // A longer list of another build is cut off.
  std::string entries = "[[\"desk\",\"a\",1]";
  for (int entry = 0; entry < 500; ++entry) {
    entries += ",[\"desk\",\"a\",1]";
  }
  UNSIGNED_LONGS_EQUAL(
    kMaximumReportedAccounts,
    DecodeSnapshotQuery(QueryWith(entries + "]"))->mAccountWork->size());
  // Names are not cut off, since other accounts may have the same beginning.
  const AccountWorkReport longName{ { "desk", std::string(200, 'a'), 1 } };
  CHECK(DecodeSnapshotQuery(EncodeSnapshotQuery(Query(longName)))
          ->mAccountWork->empty());
}
