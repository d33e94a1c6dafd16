#include <Acaciavale/LibClaims/Claims.h>

#include <LibPlatform/FakeKeyValueStore.h>
#include <LibPlatform/HookedStore.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr std::chrono::hours kRetention{ 72 };
constexpr std::chrono::seconds kRunLimit{ 60 };
const UnixMilliseconds kNow{ 1'000'000 };
const StoredAnswer kAnswer{ 201, "application/json", "{\"drill\":1}\xff" };

ClaimQuery Query(const std::string& aNonce, const std::string& aDigest = "d")
{
  ClaimQuery query;
  query.mAccount = "jadran";
  query.mKey = "drill-7";
  query.mRequestDigest = aDigest;
  query.mVm = "vm-" + aNonce;
  query.mNow = kNow;
  query.mRetention = kRetention;
  query.mRunLimit = kRunLimit;
  query.mNonce = aNonce;
  return query;
}

ClaimQuery Later(ClaimQuery aQuery, Duration aBy)
{
  aQuery.mNow += std::chrono::duration_cast<UnixMilliseconds>(aBy);
  return aQuery;
}

} // namespace

TEST_GROUP(Claims)
{
  FakeKeyValueStore mFake;
  KeyValueStore mStore = mFake.Store();

  ClaimVerdict Take(const ClaimQuery& aQuery)
  {
    return TakeClaim(mStore, aQuery).mVerdict;
  }
};

TEST(Claims, TheSecondCallerNeverRunsTheCall)
{
  CHECK(Take(Query("a")) == ClaimVerdict::Granted);
  CHECK(Take(Query("b")) == ClaimVerdict::InProgress);
  CHECK(CompleteClaim(mStore, Query("a"), kAnswer).has_value());
  const ClaimResult second = TakeClaim(mStore, Query("b"));
  CHECK(second.mVerdict == ClaimVerdict::Done);
  CHECK(second.mAnswer == kAnswer);
}

TEST(Claims, AnotherBodyUnderTheSameKeyIsAnError)
{
  CHECK(Take(Query("a")) == ClaimVerdict::Granted);
  CHECK(Take(Query("b", "other")) == ClaimVerdict::BodyDiffers);
}

TEST(Claims, AClaimWithoutOutcomeBecomesUnknownAndIsNeverRunAgain)
{
  CHECK(Take(Query("a")) == ClaimVerdict::Granted);
  const auto overdue = Later(Query("b"), kRunLimit + std::chrono::seconds(1));
  CHECK(Take(overdue) == ClaimVerdict::Unknown);
  CHECK(CompleteClaim(mStore, Query("a"), kAnswer).has_value());
  CHECK(Take(overdue) == ClaimVerdict::Done);
}

TEST(Claims, AClaimMarkedUnknownStaysUnknown)
{
  CHECK(Take(Query("a")) == ClaimVerdict::Granted);
  CHECK(MarkClaimUnknown(mStore, Query("a")).has_value());
  CHECK(Take(Query("b")) == ClaimVerdict::Unknown);
  CHECK(!ReleaseClaim(mStore, Query("a")).has_value());
}

TEST(Claims, AReleasedClaimCanBeTakenAgain)
{
  CHECK(Take(Query("a")) == ClaimVerdict::Granted);
  CHECK(!ReleaseClaim(mStore, Query("b")).has_value());
  CHECK(Take(Query("b")) == ClaimVerdict::InProgress);
  CHECK(ReleaseClaim(mStore, Query("a")).has_value());
  CHECK(Take(Query("b")) == ClaimVerdict::Granted);
  CHECK(!CompleteClaim(mStore, Query("a"), kAnswer).has_value());
}

TEST(Claims, AKeyOlderThanTheRetentionStartsAnew)
{
  CHECK(Take(Query("a")) == ClaimVerdict::Granted);
  CHECK(Take(Later(Query("b"), kRetention)) != ClaimVerdict::Granted);
  const auto after = Later(Query("b"), kRetention + std::chrono::hours(1));
  CHECK(Take(after) == ClaimVerdict::Granted);
  CHECK(!CompleteClaim(mStore, Query("a"), kAnswer).has_value());
}

TEST(Claims, ALostAnswerIsResolvedByReading)
{
  mFake.SetFaults({ .mLoseAnswers = 1 });
  CHECK(Take(Query("a")) == ClaimVerdict::Granted);
  mFake.SetFaults({ .mLoseAnswers = 1 });
  CHECK(CompleteClaim(mStore, Query("a"), kAnswer).has_value());
  CHECK(Take(Query("b")) == ClaimVerdict::Done);
}

TEST(Claims, ADownStoreClaimsNothing)
{
  mFake.SetDown(true);
  const ClaimResult result = TakeClaim(mStore, Query("a"));
  CHECK(result.mVerdict == ClaimVerdict::StoreDown);
  CHECK(!result.mMayBeTaken);
  mFake.SetDown(false);
  CHECK(Take(Query("b")) == ClaimVerdict::Granted);
}

TEST(Claims, AClaimThatIsThereButCannotBeReadIsUnknown)
{
  CHECK(Take(Query("a")) == ClaimVerdict::Granted);
  mFake.SetFaults({ .mFailReads = 1 });
  CHECK(Take(Query("b")) == ClaimVerdict::Unknown);
}

TEST(Claims, AClaimTakenInDoubtIsReleasedLater)
{
  mFake.SetFaults({ .mLoseAnswers = 9, .mFailReads = 9 });
  const ClaimResult result = TakeClaim(mStore, Query("a"));
  CHECK(result.mVerdict == ClaimVerdict::StoreDown);
  CHECK(result.mMayBeTaken);
  mFake.SetFaults({});
  CHECK(Take(Query("b")) == ClaimVerdict::InProgress);
  OrphanedClaims orphans;
  orphans.Add(Query("a"));
  orphans.Release(mStore);
  CHECK(Take(Query("b")) == ClaimVerdict::Granted);
  for (int round = 0; round < 9; ++round) {
    orphans.Release(mStore);
  }
  LONGS_EQUAL(0, orphans.size());
  CHECK(Take(Query("c")) == ClaimVerdict::InProgress);
}

TEST(Claims, AnAnswerTooLargeToKeepIsUnknownToOthers)
{
  CHECK(Take(Query("a")) == ClaimVerdict::Granted);
  const StoredAnswer large{ 200,
                            "",
                            std::string(kMaxStoredBodyBytes + 1, 'a') };
  CHECK(!CompleteClaim(mStore, Query("a"), large).has_value());
  CHECK(Take(Query("b")) == ClaimVerdict::Unknown);
}

TEST(Claims, OneLeasePerHourIsSharedByAllClaims)
{
  ClaimLeases leases;
  const auto first = leases.LeaseFor(mStore, kNow, kRetention);
  CHECK(first != 0);
  CHECK(leases.LeaseFor(mStore, kNow, kRetention) == first);
  const auto next = kNow + std::chrono::hours(1);
  CHECK(leases.LeaseFor(mStore, next, kRetention) != first);
  ClaimQuery query = Query("a");
  query.mLease = first;
  CHECK(Take(query) == ClaimVerdict::Granted);
  CHECK(CompleteClaim(mStore, query, kAnswer).has_value());
  mFake.ExpireLease(first);
  CHECK(Take(Query("b")) == ClaimVerdict::Granted);
}

TEST(Claims, AMalformedClaimIsNeverRun)
{
  CHECK(mStore.mCompareAndSwap({ ClaimKey("jadran", "drill-7"), "{", 0, 0 })
          .has_value());
  CHECK(Take(Query("a")) == ClaimVerdict::Unknown);
}

namespace {

/// Attempts under one key, each of which may be paused at any call of the store
/// while others run. The call runs where a claim is granted.
struct Attempts
{
  FakeKeyValueStore mFake;
  KeyValueStore mStore;
  std::vector<int> mChoices;
  std::size_t mNextChoice = 0;
  int mStarted = 0;
  int mRuns = 0;

  explicit Attempts(std::vector<int> aChoices)
    : mStore(HookedStore(mFake.Store(), [this] { Act(); }))
    , mChoices(std::move(aChoices))
  {
  }

  int Choose()
  {
    return mNextChoice < mChoices.size() ? mChoices[mNextChoice++] : 0;
  }

  void Act()
  {
    switch (Choose()) {
      case 1:
        Attempt();
        break;
      case 2:
        mFake.SetFaults({ .mLoseAnswers = 1 });
        break;
      case 3:
        mFake.SetFaults({ .mLoseRequests = 2, .mFailReads = 1 });
        break;
      case 4:
        mFake.SetFaults({ .mLoseAnswers = 1, .mFailReads = 2 });
        break;
      case 5:
        mFake.SetDown(true);
        break;
      case 6:
        mFake.SetFaults({});
        break;
      default:
        break;
    }
  }

  void Attempt()
  {
    const ClaimQuery query = Query(std::to_string(++mStarted));
    const ClaimResult result = TakeClaim(mStore, query);
    if (result.mVerdict == ClaimVerdict::Done) {
      RC_ASSERT(result.mAnswer == kAnswer);
      RC_ASSERT(mRuns == 1);
    }
    if (result.mMayBeTaken) {
      static_cast<void>(ReleaseClaim(mStore, query));
    }
    if (result.mVerdict != ClaimVerdict::Granted) {
      return;
    }
    if (Choose() == 1) {
      static_cast<void>(ReleaseClaim(mStore, query));
      return;
    }
    Act();
    ++mRuns;
    static_cast<void>(CompleteClaim(mStore, query, kAnswer));
  }
};

} // namespace

TEST(Claims, WhateverTheInterleavingACallRunsAtMostOnce)
{
  rc::check([] {
    const auto choices =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 9));
    Attempts attempts(choices);
    for (int attempt = 0; attempt < 4; ++attempt) {
      attempts.Attempt();
    }
    RC_ASSERT(attempts.mRuns <= 1);
  });
}
