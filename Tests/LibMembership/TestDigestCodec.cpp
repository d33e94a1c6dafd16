#include "SimulatedFleet.h"

#include <LibMembership/DigestCodec.h>
#include <LibMembership/VmRecord.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

Digest SampleDigest()
{
  Digest digest;
  digest.mSender = 7;
  digest.mRows = { { 1, 9, 3, 41, true, false, false },
                   { 2, 1, 0, 40, false, true, true } };
  digest.mDescriptions = { { SimulatedVm(5), false } };
  EvidenceCell cell;
  cell.mAnswers = 5;
  cell.mErrors = 1;
  digest.mEvidence = { { 7, 1, { { { "m", "v", "k" }, cell } } } };
  digest.mUnknownIds = { 3, 4 };
  return digest;
}

std::vector<BillEntry> SampleEntries()
{
  BillEntry entry;
  entry.mIncarnation = { "vm-1", "nonce" };
  entry.mNumber = 4;
  entry.mRequestId = "00112233445566778899aabbccddeeff";
  entry.mAccount = "jadran";
  entry.mModel = "summary";
  entry.mVersion = "v2";
  entry.mInputTokens = 1000;
  entry.mOutputTokens = 80;
  entry.mCharge = Money{ 1234 };
  entry.mTime = UnixMilliseconds(1'700'000'000'000);
  BillEntry other = entry;
  other.mNumber = 5;
  other.mRequestId = "Not hexadecimal";
  other.mVersion = "";
  other.mTime -= UnixMilliseconds(20);
  return { entry, other };
}

/// Parses the bytes as each kind of message and merges a valid digest. Guards
/// against input that crashes the process or exceeds a bound.
void ParseAndMerge(const std::string& aBytes, MemberTable& aTable)
{
  const auto digest = ParseDigest(aBytes);
  if (digest) {
    EvidenceGossip gossip;
    MergeDigest(aTable, *digest, TimePoint{});
    MergeEvidenceUpdates(gossip, aTable.mSelfId, digest->mEvidence, 3);
    ChooseRows(aTable, 20);
    ChooseEvidenceUpdates(gossip, 200);
  }
  (void)ParseEntries(aBytes);
  (void)ParseVmRecord(aBytes);
}

std::string Mutated(std::string aBytes, Random& aRandom)
{
  const std::uint64_t changes = 1 + aRandom.Below(6);
  for (std::uint64_t change = 0; change < changes; ++change) {
    const std::size_t index = aRandom.Below(aBytes.size());
    switch (aRandom.Below(3)) {
      case 0:
        aBytes[index] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        aBytes.insert(index, 1, static_cast<char>(aRandom.Below(256)));
        break;
      default:
        aBytes.erase(index, 1 + aRandom.Below(4));
        break;
    }
    if (aBytes.empty()) {
      aBytes = "x";
    }
  }
  return aBytes;
}

} // namespace

TEST_GROUP(DigestCodec){};

TEST(DigestCodec, DigestRoundTrips)
{
  const auto read = ParseDigest(SerializeDigest(SampleDigest()));
  CHECK(read.has_value());
  CHECK(*read == SampleDigest());
}

TEST(DigestCodec, RowsRoundTrip)
{
  CHECK(rc::check(
    "rows", [](const std::vector<std::tuple<ShortId, std::uint16_t>>& aRows) {
      Digest digest;
      for (const auto& [id, value] : aRows) {
        digest.mRows.push_back({ id, value, value, value, true, false, false });
      }
      const auto read = ParseDigest(SerializeDigest(digest));
      RC_ASSERT(read.has_value());
      RC_ASSERT(*read == digest);
    }));
}

TEST(DigestCodec, BillEntriesRoundTrip)
{
  const auto read = ParseEntries(SerializeEntries(SampleEntries()));
  CHECK(read.has_value());
  CHECK(*read == SampleEntries());
}

TEST(DigestCodec, VmRecordRoundTrips)
{
  const auto read = ParseVmRecord(
    SerializeVmRecord(SimulatedVm(3), UnixMilliseconds(1), "nonce"));
  CHECK(read.has_value());
  CHECK(*read == SimulatedVm(3));
}

TEST(DigestCodec, RandomBytesAreRejectedOrMergedSafely)
{
  Random random(20261204);
  MemberTable table;
  UpdateSelf(table, SimulatedVm(0), false, TimePoint{});
  for (int message = 0; message < 20'000; ++message) {
    std::string bytes(random.Below(80), ' ');
    for (char& byte : bytes) {
      byte = static_cast<char>(random.Below(256));
    }
    ParseAndMerge(bytes, table);
  }
  CHECK(table.mRecords.contains(table.mSelfId));
}

TEST(DigestCodec, MutatedMessagesAreRejectedOrMergedSafely)
{
  Random random(20261205);
  MemberTable table;
  UpdateSelf(table, SimulatedVm(0), false, TimePoint{});
  const std::string sources[] = {
    SerializeDigest(SampleDigest()),
    SerializeEntries(SampleEntries()),
    SerializeVmRecord(SimulatedVm(3), UnixMilliseconds(1), "nonce"),
  };
  for (int message = 0; message < 30'000; ++message) {
    ParseAndMerge(Mutated(sources[random.Below(3)], random), table);
  }
  CHECK(table.mRecords.size() <= 4096);
  CHECK(table.mRecords.contains(table.mSelfId));
}

TEST(DigestCodec, NegativeOrInfiniteEvidenceIsRejected)
{
  Digest digest = SampleDigest();
  digest.mEvidence[0].mCells.begin()->second.mErrors = -1;
  CHECK(!ParseDigest(SerializeDigest(digest)));
  digest.mEvidence[0].mCells.begin()->second.mErrors =
    std::numeric_limits<double>::infinity();
  CHECK(!ParseDigest(SerializeDigest(digest)));
}
