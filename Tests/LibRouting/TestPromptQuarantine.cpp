#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRouting/PromptQuarantine.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace Acaciavale;

namespace {

constexpr std::uint64_t kFirstPart = 1;  ///< Common to most requests.
constexpr std::uint64_t kCallerPart = 2; ///< Common to a caller's requests.
constexpr std::uint64_t kDeadlyPart = 3;
/// As on a fleet whose VMs poll each 0.56 s.
constexpr Duration kTrustedSpan = std::chrono::milliseconds(1456);

TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

EndpointCrash CrashAt(double aSeconds,
                      const std::string& aEndpoint,
                      std::vector<CrashSuspect> aSuspects,
                      const std::string& aVersion = "v1")
{
  return { "pool", aEndpoint, aVersion, At(aSeconds), std::move(aSuspects) };
}

} // namespace

TEST_GROUP(PromptQuarantine)
{
  CrashEvidence mEvidence;
  std::uint64_t mOwnPart = 1000;

  std::vector<std::uint64_t> Prompt(std::vector<std::uint64_t> aShared)
  {
    aShared.push_back(++mOwnPart);
    return aShared;
  }

  void Crash(double aSeconds,
             std::vector<std::uint64_t> aShared,
             const std::string& aVersion = "v1")
  {
    const auto prompt = Prompt(std::move(aShared));
    RecordCrash(mEvidence,
                CrashAt(aSeconds,
                        "i-" + std::to_string(mOwnPart),
                        { { prompt, true } },
                        aVersion));
  }

  void Sound(double aSeconds,
             std::vector<std::uint64_t> aShared,
             const std::string& aVersion = "v1")
  {
    RecordSound(
      mEvidence, "pool", aVersion, Prompt(std::move(aShared)), At(aSeconds));
  }

  bool IsQuarantined(const std::vector<std::uint64_t>& aShared)
  {
    const auto found = FindPromptsToQuarantine(mEvidence, kTrustedSpan);
    const auto prompt = Prompt(aShared);
    return std::any_of(found.begin(), found.end(), [&](const auto& aPrompt) {
      return Matches(aPrompt, "pool", prompt);
    });
  }

  PromptDecision Decide(const std::vector<std::uint64_t>& aPrompt,
                        double aSeconds,
                        const std::multiset<std::uint64_t>& aOpenTrials = {})
  {
    return DecidePrompt(FindSuspectPrompts(mEvidence),
                        FindPromptsToQuarantine(mEvidence, kTrustedSpan),
                        "pool",
                        aPrompt,
                        aOpenTrials,
                        0,
                        At(aSeconds));
  }
};

/// The load of the incident: the deadly requests have all other parts in common
/// with sound ones.
TEST(PromptQuarantine, OnlyThePartThatCrashesEndpointsIsNamed)
{
  Crash(0, { kFirstPart, kCallerPart, kDeadlyPart });
  Sound(0.1, { kFirstPart, kCallerPart });
  CHECK_FALSE(IsQuarantined({ kDeadlyPart }));
  Crash(1, { kFirstPart, 7, kDeadlyPart });
  Crash(2, { kFirstPart, kCallerPart, kDeadlyPart });
  Sound(2.1, { kFirstPart, kCallerPart });
  CHECK(IsQuarantined({ kFirstPart, kCallerPart, kDeadlyPart }));
  CHECK(IsQuarantined({ kDeadlyPart }));
  CHECK_FALSE(IsQuarantined({ kFirstPart, kCallerPart }));
  CHECK_FALSE(IsQuarantined({ 7 }));
}

/// Until an answer tells the parts apart, only prompts with all of them are
/// kept from the endpoints.
TEST(PromptQuarantine, PartsThatExplainTheSameCrashesAreNamedTogether)
{
  for (int crash = 0; crash < 3; ++crash) {
    Crash(crash, { kCallerPart, kDeadlyPart });
  }
  CHECK(IsQuarantined({ kCallerPart, kDeadlyPart }));
  CHECK_FALSE(IsQuarantined({ kCallerPart }));
  Sound(4, { kCallerPart });
  CHECK(IsQuarantined({ kDeadlyPart }));
}

/// A failure domain is lost, and all requests there were about to begin.
TEST(PromptQuarantine, EndpointsThatEndTogetherProveNothing)
{
  for (int endpoint = 0; endpoint < 20; ++endpoint) {
    Crash(0.01 * endpoint, { kFirstPart, kCallerPart });
  }
  CHECK_FALSE(IsQuarantined({ kFirstPart, kCallerPart }));
}

/// Endpoints go down and up by turns under a part that is in 0.28 of 90
/// requests a second. The answers of seven VMs of eight are known 1.2 s late.
TEST(PromptQuarantine, APartInManyRequestsIsNeverNamed)
{
  Random random(5);
  Sound(-2, { kFirstPart });
  for (double now = 0; now < 120; now += 1.0 / 90) {
    if (random.Unit() < 0.28) {
      const bool isOwn = random.Unit() < 1.0 / 8;
      Sound(isOwn ? now : now - 1.2, { kFirstPart });
    }
    if (random.Unit() < 4.0 / 90) {
      Crash(now, { kFirstPart, 100 + random.Below(50) });
      CHECK_FALSE(IsQuarantined({ kFirstPart }));
      ForgetOldCrashes(mEvidence, At(now));
    }
  }
}

TEST(PromptQuarantine, APartThatWasSoundMayTurnDeadly)
{
  Sound(-1, { kDeadlyPart });
  for (int crash = 0; crash < 3; ++crash) {
    CHECK_FALSE(IsQuarantined({ kDeadlyPart }));
    Crash(crash, { kFirstPart, kDeadlyPart });
    Sound(crash + 0.1, { kFirstPart });
  }
  CHECK(IsQuarantined({ kDeadlyPart }));
  Sound(5, { kDeadlyPart });
  CHECK_FALSE(IsQuarantined({ kDeadlyPart }));
}

/// A request and its repeats: the whole prompt, and nothing else of it.
TEST(PromptQuarantine, AWholePromptIsNamedAfterTwoCrashes)
{
  const std::vector<std::uint64_t> prompt{ kFirstPart, kCallerPart, 99 };
  Sound(-1, { kFirstPart, kCallerPart });
  RecordCrash(mEvidence, CrashAt(0, "i-1", { { prompt, true } }));
  CHECK(Decide(prompt, 5).mVerdict == PromptVerdict::Send);
  RecordCrash(mEvidence, CrashAt(0.1, "i-2", { { prompt, true } }));
  CHECK(Decide(prompt, 60).mVerdict == PromptVerdict::Refuse);
  CHECK_FALSE(IsQuarantined({ kFirstPart, kCallerPart }));
}

TEST(PromptQuarantine, ANewVersionThatAloneCrashesIsLeftOut)
{
  Sound(-1, { kDeadlyPart });
  for (int crash = 0; crash < 3; ++crash) {
    Crash(crash, { kDeadlyPart }, "v2");
    Sound(crash + 0.2, { kDeadlyPart }, "v1");
  }
  const PromptDecision decision = Decide(Prompt({ kDeadlyPart }), 4);
  CHECK(decision.mVerdict == PromptVerdict::Send);
  LONGS_EQUAL(1, decision.mExcludedVersions.size());
  STRCMP_EQUAL("v2", decision.mExcludedVersions.front().c_str());
}

TEST(PromptQuarantine, RequestsThatOnlyWaitedAreNoSuspects)
{
  for (int crash = 0; crash < 3; ++crash) {
    RecordCrash(mEvidence,
                CrashAt(crash,
                        "i-" + std::to_string(crash),
                        { { Prompt({ kCallerPart }), false },
                          { Prompt({ kDeadlyPart }), true } }));
  }
  CHECK(IsQuarantined({ kDeadlyPart }));
  CHECK_FALSE(IsQuarantined({ kCallerPart }));
}

/// A request that waited at an endpoint that ended is repeated at once.
TEST(PromptQuarantine, ABystanderIsNotHeld)
{
  const auto prompt = Prompt({ kCallerPart });
  RecordCrash(mEvidence, CrashAt(0, "i-1", { { prompt, false } }));
  CHECK(Decide(prompt, 0).mVerdict == PromptVerdict::Send);
  UNSIGNED_LONGS_EQUAL(0, Decide(prompt, 0).mTrialOf);
  RecordCrash(mEvidence, CrashAt(0.5, "i-2", { { prompt, false } }));
  CHECK(Decide(prompt, 0.5).mVerdict != PromptVerdict::Send);
}

/// After one crash the VMs try such a request one after the other.
TEST(PromptQuarantine, OneTrialAtATimeAfterACrash)
{
  Sound(-1, { kFirstPart });
  Crash(0, { kFirstPart, kDeadlyPart });
  const auto prompt = Prompt({ kFirstPart, kDeadlyPart });
  CHECK(Decide(prompt, 0.1).mVerdict == PromptVerdict::Hold);
  CHECK(Decide(prompt, 0.1).mRetryAfter > Duration{});
  const PromptDecision trial = Decide(prompt, 2);
  CHECK(trial.mVerdict == PromptVerdict::Send);
  UNSIGNED_LONGS_EQUAL(kDeadlyPart, trial.mTrialOf);
  CHECK(Decide(prompt, 2, { kDeadlyPart }).mVerdict == PromptVerdict::Hold);
  CHECK(Decide(Prompt({ kFirstPart }), 0.1).mVerdict == PromptVerdict::Send);
  Sound(2.5, { kFirstPart, kDeadlyPart });
  CHECK(Decide(prompt, 2.6, { kDeadlyPart }).mVerdict == PromptVerdict::Send);
}

/// Ten VMs lose requests at one endpoint.
TEST(PromptQuarantine, OneLifetimeCountsOnceForAllVms)
{
  std::vector<CrashEvidence> vms(10);
  for (CrashEvidence& vm : vms) {
    RecordCrash(vm, CrashAt(0, "i-1", { { Prompt({ kDeadlyPart }), true } }));
  }
  CrashEvidence forward;
  CrashEvidence backward;
  for (std::size_t index = 0; index < vms.size(); ++index) {
    Merge(forward, vms[index]);
    Merge(backward, vms[vms.size() - 1 - index]);
  }
  CHECK_FALSE(Merge(forward, backward));
  UNSIGNED_LONGS_EQUAL(1, forward.mCrashes.size());
  UNSIGNED_LONGS_EQUAL(DigestOf(forward), DigestOf(backward));
  UNSIGNED_LONGS_EQUAL(0,
                       FindPromptsToQuarantine(forward, kTrustedSpan).size());
}

/// A caller sends many unique parts, of sound requests, between two crashes.
TEST(PromptQuarantine, CallersCannotPushEvidenceOut)
{
  Crash(0, { kFirstPart, kDeadlyPart });
  for (int request = 0; request < 20000; ++request) {
    Sound(1 + request * 1e-4, { kFirstPart, 5000000U + request });
  }
  CHECK(mEvidence.mSoundAt.size() <= 4096);
  Crash(4, { kFirstPart, kDeadlyPart });
  Crash(5, { kFirstPart, kDeadlyPart });
  Sound(5.1, { kFirstPart });
  CHECK(IsQuarantined({ kDeadlyPart }));
  for (int crash = 0; crash < 1000; ++crash) {
    Crash(10 + crash * 0.01, { 9000000U + crash });
  }
  CHECK(mEvidence.mCrashes.size() <= 256);
}

TEST(PromptQuarantine, AnAnswerEndsTheQuarantine)
{
  for (int crash = 0; crash < 3; ++crash) {
    Crash(crash, { kDeadlyPart });
  }
  std::vector<QuarantinedPrompt> quarantine;
  CHECK(UpdateQuarantine(
    quarantine, FindPromptsToQuarantine(mEvidence, kTrustedSpan), mEvidence));
  CHECK_FALSE(UpdateQuarantine(
    quarantine, FindPromptsToQuarantine(mEvidence, kTrustedSpan), mEvidence));
  Sound(4, { kDeadlyPart });
  CHECK(UpdateQuarantine(quarantine, {}, mEvidence));
  CHECK(quarantine.empty());
}
