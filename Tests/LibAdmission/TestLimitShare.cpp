#include <Acaciavale/LibAdmission/LimitShare.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

TEST_GROUP(LimitShare){};

TEST(LimitShare, ADrainedVmGivesItsPartUpAndALostOneOnlyInTime)
{
  LimitShareQuery query;
  query.mOthers = { { 1, true, {}, false, true } };
  DOUBLES_EQUAL(0.5, LimitShare(query), 1e-9);
  query.mOthers[0].mListed = false;
  DOUBLES_EQUAL(0.5, LimitShare(query), 1e-9);
  query.mOthers[0].mTimeSinceListed = query.mReclaimAfter;
  DOUBLES_EQUAL(1, LimitShare(query), 1e-9);
  query.mOthers[0] = { 1, true, {}, true, false };
  DOUBLES_EQUAL(1, LimitShare(query), 1e-9);
  query.mTimeSinceSelfListed = query.mReclaimAfter;
  DOUBLES_EQUAL(0, LimitShare(query), 1e-9);
}

/// VMs that join one after another, each of which has or has not heard of each
/// later one and told it so, in any pattern: nobody can talk to everybody.
TEST(LimitShare, ThePartsNeverSumToMoreThanOne)
{
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    const auto weights =
      *rc::gen::container<std::vector<int>>(count, rc::gen::inRange(1, 9));
    const auto heard = *rc::gen::container<std::vector<bool>>(
      count * count, rc::gen::arbitrary<bool>());
    double sum = 0;
    for (std::size_t vm = 0; vm < count; ++vm) {
      LimitShareQuery query;
      query.mWeight = weights[vm];
      for (std::size_t other = 0; other < count; ++other) {
        // NOTE: A VM sees the earlier ones on the list, a later one only once
        //       it has heard of it, which it then tells that one.
        const bool earlier = other < vm;
        const bool knows = earlier || heard[vm * count + other];
        if (other != vm && knows) {
          LimitMember member;
          member.mWeight = weights[other];
          member.mCountsThisVm = !earlier || heard[other * count + vm];
          query.mOthers.push_back(member);
        }
      }
      sum += LimitShare(query);
    }
    RC_ASSERT(sum <= 1 + 1e-9);
  }));
}
