#include "ExampleSettings.h"

#include <Acaciavale/LibSettings/FleetStatus.h>
#include <Acaciavale/LibSettings/SettingsHolder.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <LibPlatform/FakeKeyValueStore.h>
#include <map>
#include <rapidcheck.h>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

ApplyRequest Request(std::int64_t aSeen, const std::string& aNonce)
{
  ApplyRequest request;
  request.mFiles = Files(ExampleText());
  request.mAuthor = "ana";
  request.mReason = "trial of " + aNonce;
  request.mSeenGeneration = aSeen;
  request.mNonce = aNonce;
  return request;
}

/// Seals a record as a writer would.
StoredSettings Sealed(std::int64_t aGeneration, const std::string& aText)
{
  StoredSettings stored;
  stored.mFiles = Files(aText);
  stored.mRoot.mGeneration = aGeneration;
  stored.mRoot.mDigest = DigestOf(stored.mFiles);
  stored.mRoot.mChain = ChainOf(stored.mRoot);
  return stored;
}

/// Runs another operator's apply just before the first write of the root.
KeyValueStore Raced(const KeyValueStore& aStore, bool& aDone, bool aLoseAnswer)
{
  KeyValueStore raced = aStore;
  raced.mCompareAndSwap =
    [aStore, &aDone, aLoseAnswer](
      const CompareAndSwap& aWrite) -> ErrorOr<std::int64_t> {
    if (aWrite.mKey != kSettingsRootKey || aDone) {
      return aStore.mCompareAndSwap(aWrite);
    }
    aDone = true;
    if (!aLoseAnswer) {
      CHECK(Apply(aStore, Request(1, "rival")).has_value());
      return aStore.mCompareAndSwap(aWrite);
    }
    CHECK(aStore.mCompareAndSwap(aWrite).has_value());
    CHECK(Apply(aStore, Request(2, "rival")).has_value());
    return MakeError(ErrorCode::OutcomeUnknown, "lost");
  };
  return raced;
}

/// What one operator was told, by nonce.
using Told = std::map<std::string, ErrorOr<SettingsRoot>>;

/// Applies again and again to whatever generation is in force.
Told RunOperator(const KeyValueStore& aStore, const std::string& aName)
{
  Told told;
  for (int turn = 0; turn < 20; ++turn) {
    const auto root = FetchRoot(aStore);
    if (root) {
      const std::string nonce = aName + std::to_string(turn);
      told.emplace(nonce, Apply(aStore, Request(root->mGeneration, nonce)));
    }
  }
  return told;
}

/// The generation that each nonce stands in the history with.
std::map<std::string, std::int64_t> GenerationsOf(const KeyValueStore& aStore)
{
  std::map<std::string, std::int64_t> generations;
  const auto history = FetchHistory(aStore).value();
  CHECK(Verify(history).empty());
  for (const SettingsRoot& root : history) {
    CHECK(generations.insert({ root.mNonce, root.mGeneration }).second);
  }
  return generations;
}

/// Whether the history agrees with what an operator was told.
bool Agrees(const std::map<std::string, std::int64_t>& aGenerations,
            const std::string& aNonce,
            const ErrorOr<SettingsRoot>& aTold)
{
  const auto found = aGenerations.find(aNonce);
  if (aTold) {
    return found != aGenerations.end() && found->second == aTold->mGeneration;
  }
  return aTold.error().mCode == ErrorCode::OutcomeUnknown ||
         found == aGenerations.end();
}

} // namespace

TEST_GROUP(Store)
{
  FakeKeyValueStore mFake;
  KeyValueStore mStore = mFake.Store();
};

TEST(Store, AppliedSettingsAreFetchedAndStayInTheHistory)
{
  CHECK(FetchLatest(mStore).error().mCode == ErrorCode::NotFound);
  for (std::int64_t seen = 0; seen < 3; ++seen) {
    const auto root = Apply(mStore, Request(seen, std::to_string(seen)));
    LONGS_EQUAL(seen + 1, root.value().mGeneration);
  }
  CHECK(FetchLatest(mStore).value().mFiles == Files(ExampleText()));
  const auto history = FetchHistory(mStore).value();
  LONGS_EQUAL(3, history.size());
  CHECK(Verify(history).empty());
  LONGS_EQUAL(2, FetchGeneration(mStore, 2).value().mRoot.mGeneration);
  CHECK(FetchGeneration(mStore, 9).error().mCode == ErrorCode::NotFound);
}

TEST(Store, AnAlteredRemovedOrSwappedRootIsSeen)
{
  for (std::int64_t seen = 0; seen < 4; ++seen) {
    CHECK(Apply(mStore, Request(seen, std::to_string(seen))).has_value());
  }
  const auto history = FetchHistory(mStore).value();
  auto altered = history;
  altered[1].mReason = "another reason";
  CHECK(!Verify(altered).empty());
  altered[1].mChain = ChainOf(altered[1]);
  CHECK(!Verify(altered).empty());
  auto shortened = history;
  shortened.erase(shortened.begin() + 2);
  CHECK(!Verify(shortened).empty());
}

TEST(Store, OneOfTwoRacingOperatorsWins)
{
  CHECK(Apply(mStore, Request(0, "first")).has_value());
  bool done = false;
  const auto lost = Apply(Raced(mStore, done, false), Request(1, "mine"));
  CHECK(lost.error().mCode == ErrorCode::Conflict);
  STRCMP_EQUAL("rival", FetchRoot(mStore).value().mNonce.c_str());
}

TEST(Store, ALostAnswerIsResolvedEvenIfAnotherCameAfter)
{
  CHECK(Apply(mStore, Request(0, "first")).has_value());
  bool done = false;
  const auto mine = Apply(Raced(mStore, done, true), Request(1, "mine"));
  LONGS_EQUAL(2, mine.value().mGeneration);
  LONGS_EQUAL(3, FetchRoot(mStore).value().mGeneration);
}

TEST(Store, WhatApplySaysIsWhatTheStoreHolds)
{
  const bool holds = rc::check([] {
    FakeKeyValueStore fake;
    const KeyValueStore store = fake.Store();
    RC_ASSERT(Apply(store, Request(0, "first")).has_value());
    FakeStoreFaults faults;
    faults.mFailWrites = *rc::gen::inRange(0, 5);
    faults.mLoseAnswers = *rc::gen::inRange(0, 5);
    faults.mLoseRequests = *rc::gen::inRange(0, 5);
    faults.mFailReads = *rc::gen::inRange(0, 3);
    fake.SetFaults(faults);
    const auto applied = Apply(store, Request(1, "mine"));
    fake.SetFaults({});
    const bool inForce = FetchRoot(store).value().mNonce == "mine";
    if (applied) {
      RC_ASSERT(inForce);
    } else if (applied.error().mCode != ErrorCode::OutcomeUnknown) {
      RC_ASSERT(!inForce);
    }
  });
  CHECK(holds);
}

TEST(Store, ABodyAboveAMegabyteIsSplit)
{
  ApplyRequest request = Request(0, "large");
  for (const char* name : { "b.ini", "c.ini" }) {
    request.mFiles.push_back({ name, "; " });
    for (int line = 0; line < 10'000; ++line) {
      request.mFiles.back().mText += std::string(80, 'x') + "\n; ";
    }
  }
  LONGS_EQUAL(2, Apply(mStore, request).value().mChunks);
  CHECK(FetchLatest(mStore).value().mFiles == request.mFiles);
}

TEST(Store, SettingsWithFindingsOrWithoutReasonAreNotApplied)
{
  ApplyRequest request = Request(0, "a");
  request.mReason = " ";
  CHECK(Apply(mStore, request).error().mCode == ErrorCode::Invalid);
  request.mReason = "fine\n2  2026-12-04  forged";
  CHECK(Apply(mStore, request).error().mCode == ErrorCode::Invalid);
  request = Request(0, "b");
  request.mFiles[0].mText += "burst = many\n";
  CHECK(Apply(mStore, request).error().mCode == ErrorCode::Invalid);
  LONGS_EQUAL(0, mFake.Counts().mWrites);
}

TEST(Store, AHolderNeverStepsBackAndChecksWhatItIsOffered)
{
  SettingsHolder holder;
  CHECK(holder.Current() == nullptr);
  const StoredSettings third = Sealed(3, ExampleText());
  CHECK(holder.Offer(3, SerialiseRecord(third)).value());
  CHECK(!holder.Offer(Sealed(2, ExampleText())).value());
  CHECK(!holder.Offer(third).value());
  LONGS_EQUAL(3, holder.Current()->mGeneration);
  CHECK(holder.Record(2).empty());
  CHECK(ParseRecord(holder.Record(3)).value() == third);

  StoredSettings forged = Sealed(4, ExampleText());
  forged.mFiles[0].mText += "; altered\n";
  CHECK(holder.Offer(forged).error().mCode == ErrorCode::Invalid);
  CHECK(holder.Offer(5, SerialiseRecord(third)).error().mCode ==
        ErrorCode::Invalid);
  CHECK(holder.Offer(9, "{").error().mCode == ErrorCode::Invalid);
  CHECK(holder.Offer(Sealed(3, ExampleText() + "; other\n")).error().mCode ==
        ErrorCode::Conflict);
  CHECK(holder.Offer(Sealed(4, "[deployment]\n")).error().mCode ==
        ErrorCode::Invalid);
  LONGS_EQUAL(3, holder.Generation());
}

TEST(Store, TheStatusNamesTheVmsThatAreBehind)
{
  CHECK(Apply(mStore, Request(0, "first")).has_value());
  for (const auto& [name, record] :
       { std::pair{ "vms/a", R"({"settings_generation": 1})" },
         std::pair{ "vms/b", R"({"settings_generation": 0})" },
         std::pair{ "vms/c", "not JSON" } }) {
    CHECK(mStore.mCompareAndSwap({ name, record, 0, 0 }).has_value());
  }
  const auto status = FetchFleetStatus(mStore).value();
  CHECK(Behind(status) == (std::vector<std::string>{ "b", "c" }));
  STRCMP_CONTAINS("1 of 3 VMs have generation 1", StatusText(status).c_str());
  STRCMP_CONTAINS("\"behind\"", StatusJson(status).c_str());
}

TEST(Store, AnApplyCostsOneReadAndThreeWrites)
{
  CHECK(Apply(mStore, Request(0, "first")).has_value());
  const FakeStoreCounts before = mFake.Counts();
  ApplyRequest request = Request(1, "second");
  request.mFiles[0].mText += "; another body\n";
  CHECK(Apply(mStore, request).has_value());
  LONGS_EQUAL(1, mFake.Counts().mReads - before.mReads);
  LONGS_EQUAL(3, mFake.Counts().mWrites - before.mWrites);
}

TEST(Store, TheHistoryAgreesWithWhatRacingOperatorsWereTold)
{
  CHECK(Apply(mStore, Request(0, "first")).has_value());
  FakeStoreFaults faults;
  faults.mLoseAnswers = 15;
  faults.mLoseRequests = 15;
  faults.mFailWrites = 10;
  faults.mFailReads = 10;
  mFake.SetFaults(faults);
  std::vector<Told> told(4);
  std::vector<std::thread> operators;
  operators.reserve(told.size());
  for (std::size_t name = 0; name < told.size(); ++name) {
    operators.emplace_back([this, &told, name] {
      told[name] = RunOperator(mStore, std::to_string(name) + "-");
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  mFake.SetFaults({});
  const auto generations = GenerationsOf(mStore);
  for (const Told& one : told) {
    for (const auto& [nonce, answer] : one) {
      CHECK_TEXT(Agrees(generations, nonce, answer), nonce.c_str());
    }
  }
}
