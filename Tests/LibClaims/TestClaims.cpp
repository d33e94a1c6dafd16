#include <Acaciavale/LibClaims/Claims.h>

#include <LibPlatform/FakeKeyValueStore.h>
#include <LibPlatform/HookedStore.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr std::chrono::hours kRetention{ 72 };
constexpr std::chrono::seconds kRunTimeout{ 60 };
const UnixMilliseconds kNow{ 1'000'000 };
const StoredResponse kResponse{ 201, "application/json", "{\"drill\":1}\xff" };

ClaimQuery MakeQuery(const std::string& aNonce,
                     const std::string& aDigest = "d")
{
  ClaimQuery query;
  query.mAccount = "jadran";
  query.mKey = "drill-7";
  query.mRequestDigest = aDigest;
  query.mVm = "vm-" + aNonce;
  query.mNow = kNow;
  query.mRetention = kRetention;
  query.mRunTimeout = kRunTimeout;
  query.mNonce = aNonce;
  return query;
}

ClaimQuery Later(ClaimQuery aQuery, Duration aDelay)
{
  aQuery.mNow += std::chrono::duration_cast<UnixMilliseconds>(aDelay);
  return aQuery;
}

} // namespace

TEST_GROUP(Claims)
{
  FakeKeyValueStore mFake;
  KeyValueStore mStore = mFake.Store();

  ClaimVerdict Acquire(const ClaimQuery& aQuery)
  {
    return AcquireClaim(mStore, aQuery).mVerdict;
  }
};

TEST(Claims, SecondRequestWithTheSameKeyNeverRunsTheCall)
{
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Granted);
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::InProgress);
  CHECK(CompleteClaim(mStore, MakeQuery("a"), kResponse).has_value());
  const ClaimResult second = AcquireClaim(mStore, MakeQuery("b"));
  CHECK(second.mVerdict == ClaimVerdict::Done);
  CHECK(second.mResponse == kResponse);
}

TEST(Claims, DifferentRequestWithTheSameKeyIsRejected)
{
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Granted);
  CHECK(Acquire(MakeQuery("b", "other")) == ClaimVerdict::RequestDiffers);
}

TEST(Claims, ClaimWithoutOutcomeBecomesUnknownAfterTheRunTimeout)
{
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Granted);
  const auto overdue =
    Later(MakeQuery("b"), kRunTimeout + std::chrono::seconds(1));
  CHECK(Acquire(overdue) == ClaimVerdict::Unknown);
  CHECK(CompleteClaim(mStore, MakeQuery("a"), kResponse).has_value());
  CHECK(Acquire(overdue) == ClaimVerdict::Done);
}

TEST(Claims, ClaimMarkedUnknownStaysUnknown)
{
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Granted);
  CHECK(MarkClaimUnknown(mStore, MakeQuery("a")).has_value());
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::Unknown);
  CHECK(!ReleaseClaim(mStore, MakeQuery("a")).has_value());
}

TEST(Claims, ReleasedClaimCanBeAcquiredAgain)
{
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Granted);
  CHECK(!ReleaseClaim(mStore, MakeQuery("b")).has_value());
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::InProgress);
  CHECK(ReleaseClaim(mStore, MakeQuery("a")).has_value());
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::Granted);
  CHECK(!CompleteClaim(mStore, MakeQuery("a"), kResponse).has_value());
}

TEST(Claims, KeyCanBeReusedAfterTheRetention)
{
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Granted);
  CHECK(Acquire(Later(MakeQuery("b"), kRetention)) != ClaimVerdict::Granted);
  const auto after = Later(MakeQuery("b"), kRetention + std::chrono::hours(1));
  CHECK(Acquire(after) == ClaimVerdict::Granted);
  CHECK(!CompleteClaim(mStore, MakeQuery("a"), kResponse).has_value());
}

TEST(Claims, LostStoreResponseIsResolvedByReading)
{
  mFake.SetFaults({ .mLoseAnswers = 1 });
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Granted);
  mFake.SetFaults({ .mLoseAnswers = 1 });
  CHECK(CompleteClaim(mStore, MakeQuery("a"), kResponse).has_value());
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::Done);
}

TEST(Claims, UnavailableStoreGrantsNoClaim)
{
  mFake.SetDown(true);
  const ClaimResult result = AcquireClaim(mStore, MakeQuery("a"));
  CHECK(result.mVerdict == ClaimVerdict::StoreUnavailable);
  CHECK(!result.mMayBeClaimed);
  mFake.SetDown(false);
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::Granted);
}

TEST(Claims, ExistingClaimThatCannotBeReadIsUnknown)
{
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Granted);
  mFake.SetFaults({ .mFailReads = 1 });
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::Unknown);
}

TEST(Claims, ClaimWithUnknownWriteOutcomeIsReleasedLater)
{
  mFake.SetFaults({ .mLoseAnswers = 9, .mFailReads = 9 });
  const ClaimResult result = AcquireClaim(mStore, MakeQuery("a"));
  CHECK(result.mVerdict == ClaimVerdict::StoreUnavailable);
  CHECK(result.mMayBeClaimed);
  mFake.SetFaults({});
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::InProgress);
  OrphanedClaims orphans;
  orphans.Add(MakeQuery("a"));
  orphans.Release(mStore);
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::Granted);
  for (int round = 0; round < 9; ++round) {
    orphans.Release(mStore);
  }
  LONGS_EQUAL(0, orphans.size());
  CHECK(Acquire(MakeQuery("c")) == ClaimVerdict::InProgress);
}

TEST(Claims, ResponseTooLargeToStoreMakesTheClaimUnknown)
{
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Granted);
  const StoredResponse large{ 200,
                              "",
                              std::string(kMaxStoredBodyBytes + 1, 'a') };
  CHECK(!CompleteClaim(mStore, MakeQuery("a"), large).has_value());
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::Unknown);
}

TEST(Claims, ClaimsOfOneHourShareALease)
{
  ClaimLeases leases;
  const auto first = leases.LeaseFor(mStore, kNow, kRetention);
  CHECK(first != 0);
  CHECK(leases.LeaseFor(mStore, kNow, kRetention) == first);
  const auto next = kNow + std::chrono::hours(1);
  CHECK(leases.LeaseFor(mStore, next, kRetention) != first);
  ClaimQuery query = MakeQuery("a");
  query.mLease = first;
  CHECK(Acquire(query) == ClaimVerdict::Granted);
  CHECK(CompleteClaim(mStore, query, kResponse).has_value());
  mFake.ExpireLease(first);
  CHECK(Acquire(MakeQuery("b")) == ClaimVerdict::Granted);
}

TEST(Claims, MalformedClaimIsNeverRun)
{
  CHECK(mStore.mCompareAndSwap({ ClaimKey("jadran", "drill-7"), "{", 0, 0 })
          .has_value());
  CHECK(Acquire(MakeQuery("a")) == ClaimVerdict::Unknown);
}

namespace {

/// Attempts with one key, each of which may be interrupted at any call of the
/// store while other attempts run. An attempt runs the call if its claim is
/// granted.
struct InterleavedAttempts
{
  FakeKeyValueStore mFake;
  KeyValueStore mStore;
  std::vector<int> mChoices;
  std::size_t mNextChoice = 0;
  int mAttemptCount = 0;
  int mRunCount = 0;

  explicit InterleavedAttempts(std::vector<int> aChoices)
    : mStore(HookedStore(mFake.Store(), [this] { RunNextAction(); }))
    , mChoices(std::move(aChoices))
  {
  }

  int NextChoice()
  {
    return mNextChoice < mChoices.size() ? mChoices[mNextChoice++] : 0;
  }

  void RunNextAction()
  {
    switch (NextChoice()) {
      case 1:
        RunAttempt();
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

  void RunAttempt()
  {
    const ClaimQuery query = MakeQuery(std::to_string(++mAttemptCount));
    const ClaimResult result = AcquireClaim(mStore, query);
    if (result.mVerdict == ClaimVerdict::Done) {
      RC_ASSERT(result.mResponse == kResponse);
      RC_ASSERT(mRunCount == 1);
    }
    if (result.mMayBeClaimed) {
      static_cast<void>(ReleaseClaim(mStore, query));
    }
    if (result.mVerdict != ClaimVerdict::Granted) {
      return;
    }
    if (NextChoice() == 1) {
      static_cast<void>(ReleaseClaim(mStore, query));
      return;
    }
    RunNextAction();
    ++mRunCount;
    static_cast<void>(CompleteClaim(mStore, query, kResponse));
  }
};

} // namespace

TEST(Claims, CallRunsAtMostOnceUnderAnyInterleaving)
{
  rc::check([] {
    const auto choices =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 9));
    InterleavedAttempts attempts(choices);
    for (int attempt = 0; attempt < 4; ++attempt) {
      attempts.RunAttempt();
    }
    RC_ASSERT(attempts.mRunCount <= 1);
  });
}
