#include "RawEndpoint.h"

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

/// Requests whose length is not known, as they have an unknown transfer coding.
TEST_GROUP(NodeRequestFraming)
{
  PlatformFixture mFixture;

  /// Sends a request whose body is in chunks, and a part that would be taken
  /// for a second request if the first had no body.
  std::string Exchange(const std::string& aCoding)
  {
    return mFixture.ExchangeBytes(
      mFixture.mNode->CallerAddress(),
      "POST /once/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a\r\n"
      "Deadline-Ms: 4000\r\nKey: key-1\r\nTransfer-Encoding: " +
        aCoding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  }

  void Check(const std::string& aCoding, const std::string& aStatus)
  {
    const std::string received = Exchange(aCoding);
    STRCMP_EQUAL_TEXT(("HTTP/1.1 " + aStatus).c_str(),
                      received.substr(0, 12).c_str(),
                      aCoding.c_str());
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(mFixture.mReplicas[0]->mArrivals.empty());
  }
};

TEST(NodeRequestFraming, AnUnknownTransferCodingIsNotTakenForNoBody)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", RespondWith("answer"));
  mFixture.StartNode();
  for (const char* coding : { "xchunked",
                              "gzip",
                              "identity",
                              "chunked, identity",
                              "chunked, chunked",
                              "\"chunked\"",
                              "chunked;a=b",
                              "" }) {
    Check(coding, "400");
  }
  Check("gzip, chunked", "501");
  Check("gzip\r\nX-Field: a\r\nTransfer-Encoding: chunked", "501");
}

TEST(NodeRequestFraming, ChunksAreDecoded)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", RespondWith("answer"));
  mFixture.StartNode();
  CHECK(Exchange("chunked").starts_with("HTTP/1.1 200"));
  STRCMP_EQUAL("body", mFixture.mReplicas[0]->mArrivals[0].mBody.c_str());
}
