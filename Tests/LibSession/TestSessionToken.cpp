#include <Acaciavale/LibCore/Base64.h>
#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibSession/SessionToken.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

const std::string kKey(64, 'a');
const std::string kOldKey(64, 'b');

DeploymentSettings Deployment(const std::string& aKey,
                              const std::string& aOldKey = {})
{
  DeploymentSettings deployment;
  deployment.mSessionKey = aKey;
  deployment.mOldSessionKey = aOldKey;
  return deployment;
}

const Session kSession{ "s1",
                        "jadran",
                        { { "small", "v1" }, { "large", "v7" } },
                        UnixMilliseconds(1234) };

} // namespace

TEST_GROUP(SessionToken){};

TEST(SessionToken, SignedSessionVerifiesUnchanged)
{
  const auto deployment = Deployment(kKey);
  const auto session =
    VerifySession(SignSession(kSession, deployment), "jadran", deployment);
  CHECK(session.has_value());
  CHECK(*session == kSession);
}

TEST(SessionToken, OldKeyVerifiesUntilItIsRemoved)
{
  const std::string token = SignSession(kSession, Deployment(kOldKey));
  CHECK(VerifySession(token, "jadran", Deployment(kKey, kOldKey)).has_value());
  CHECK(VerifySession(token, "jadran", Deployment(kKey)).error().mCode ==
        ErrorCode::Invalid);
}

TEST(SessionToken, TokenOfAnotherAccountIsForbidden)
{
  const auto deployment = Deployment(kKey);
  const auto session =
    VerifySession(SignSession(kSession, deployment), "gebeta", deployment);
  CHECK(session.error().mCode == ErrorCode::Forbidden);
}

TEST(SessionToken, MissingOrInvalidKeyNeitherSignsNorVerifies)
{
  for (const std::string& key : { std::string(), std::string("zz") }) {
    CHECK(SignSession(kSession, Deployment(key)).empty());
    const std::string token = SignSession(kSession, Deployment(kKey));
    CHECK(!VerifySession(token, "jadran", Deployment(key, key)).has_value());
  }
}

TEST(SessionToken, ModifiedTokenIsRejected)
{
  rc::check([] {
    const auto deployment = Deployment(kKey);
    std::string token = SignSession(kSession, deployment);
    const auto position = *rc::gen::inRange<std::size_t>(0, token.size());
    const auto replacement = *rc::gen::arbitrary<char>();
    RC_PRE(token[position] != replacement);
    token[position] = replacement;
    RC_ASSERT(!VerifySession(token, "jadran", deployment).has_value());
  });
}

TEST(SessionToken, ArbitraryTextIsRejected)
{
  rc::check([](const std::string& aText) {
    RC_ASSERT(!VerifySession(aText, "jadran", Deployment(kKey)).has_value());
  });
  CHECK(!VerifySession(std::string(1 << 20, 'a'), "jadran", Deployment(kKey)));
}

TEST(SessionToken, Base64UrlRoundTripsAnyBytes)
{
  rc::check([](const std::string& aBytes) {
    RC_ASSERT(DecodeBase64Url(EncodeBase64Url(aBytes)) == aBytes);
  });
}

TEST(SessionToken, SessionHasOneVersionPerModel)
{
  STRCMP_EQUAL("v7", SessionVersion(kSession, "large").c_str());
  STRCMP_EQUAL("", SessionVersion(kSession, "other").c_str());
  const Session updated = WithVersion(kSession, { "large", "v8" });
  STRCMP_EQUAL("v8", SessionVersion(updated, "large").c_str());
  LONGS_EQUAL(2, updated.mVersions.size());
}

TEST(SessionToken, RolloutPositionsAreUniformlyDistributed)
{
  Random random(20261204);
  int below = 0;
  constexpr int kDraws = 10'000;
  for (int draw = 0; draw < kDraws; ++draw) {
    Session session;
    session.mId = RandomToken(random);
    below += RolloutPosition(session) < 0.1 ? 1 : 0;
  }
  CHECK(below > 900 && below < 1100);
}
