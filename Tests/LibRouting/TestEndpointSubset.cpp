#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <rapidcheck.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

TEST_GROUP(EndpointSubset){};

TEST(EndpointSubset, AddedEndpointReplacesAtMostOneMember)
{
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 300);
    const auto size = *rc::gen::inRange<std::size_t>(1, 60);
    const auto vmKey = *rc::gen::arbitrary<std::uint64_t>();
    std::vector<SubsetMember> members;
    for (std::uint32_t index = 0; index < count; ++index) {
      members.push_back({ index, RendezvousRank(5, index), index % 9 });
    }
    const auto before = ChooseSubset(vmKey, 3, members, size);
    RC_ASSERT(before.size() == std::min<std::size_t>(count, size));
    members.push_back({ count, RendezvousRank(5, count), count % 9 });
    const auto after = ChooseSubset(vmKey, 3, members, size);
    std::vector<std::uint32_t> removed;
    std::set_difference(before.begin(),
                        before.end(),
                        after.begin(),
                        after.end(),
                        std::back_inserter(removed));
    RC_ASSERT(removed.size() <= 1U);
  }));
}

TEST(EndpointSubset, ReservesTheRequestedShareButNeverAll)
{
  CHECK(rc::check([] {
    const auto keys = *rc::gen::unique<std::vector<std::uint64_t>>(
      rc::gen::arbitrary<std::uint64_t>());
    const double share = *rc::gen::inRange(1, 100) / 100.0;
    const std::vector<bool> reserved = ReservedEndpoints(keys, share);
    const auto count = std::count(reserved.begin(), reserved.end(), true);
    RC_ASSERT(keys.size() < 2 ||
              (count >= 1 && count < static_cast<std::ptrdiff_t>(keys.size())));
    RC_ASSERT(static_cast<double>(count) <
              share * static_cast<double>(keys.size()) + 1);
  }));
}
