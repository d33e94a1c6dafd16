#include <Acaciavale/LibRelay/EventStreamParser.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale::Relay;

TEST_GROUP(EventStreamParser){};

TEST(EventStreamParser, ReturnsOnlyCompleteEventsForAnySplitOfTheBytes)
{
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    EventStreamParser events;
    std::vector<StreamEvent> all = events.Append(text.substr(0, cut));
    for (StreamEvent& piece : events.Append(text.substr(cut))) {
      all.push_back(std::move(piece));
    }
    UNSIGNED_LONGS_EQUAL(2, all.size());
    CHECK(all[0] == (StreamEvent{ "id: 1\ndata: a\n\n", 1 }));
    CHECK(all[1] == (StreamEvent{ "id: 2\ndata: b\n\n", 2 }));
    STRCMP_EQUAL("id: 3\nda", events.IncompleteEvent().c_str());
  }
}

TEST(EventStreamParser, ParsesIdsWithAndWithoutASpace)
{
  EventStreamParser events;
  const auto all = events.Append("id:41\r\ndata: x\r\n\r\ndata: y\n\n");
  UNSIGNED_LONGS_EQUAL(2, all.size());
  CHECK(all[0].mId == 41);
  CHECK_FALSE(all[1].mId.has_value());
}
