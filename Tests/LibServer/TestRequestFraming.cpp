#include <LibServer/HttpListener.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

/// Requests whose length is not known, as they have an unknown transfer coding.
TEST_GROUP(RequestFraming)
{
  std::atomic<int> mHandled{ 0 };
  asio::io_context mContext{ 1 };
  HttpListener mListener{ mContext,
                          ListenerLimits{},
                          [this](const CallerRequest& aRequest,
                                 const CallerResponse& aResponse) {
                            ++mHandled;
                            aResponse.mSend(200, {}, aRequest.mBody);
                          } };
  std::string mAddress = mListener.Open("127.0.0.1:0").value();
  std::thread mThread{ [this] { mContext.run(); } };

  void teardown() override
  {
    mContext.stop();
    mThread.join();
  }

  /// Returns what the listener sends until it closes the connection.
  std::string Exchange(const std::string& aBytes) const
  {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const std::size_t colon = mAddress.find(':');
    socket.connect(
      { asio::ip::make_address(mAddress.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(mAddress.substr(colon + 1))) });
    asio::write(socket, asio::buffer(aBytes));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::string received;
    std::error_code ignored; // NOTE: What was received before counts.
    asio::read(socket, asio::dynamic_buffer(received), ignored);
    return received;
  }
};

TEST(RequestFraming, AnUnknownTransferCodingIsNotTakenForNoBody)
{
  for (const char* coding : { "xchunked",
                              "gzip",
                              "identity",
                              "gzip, chunked",
                              "chunked, identity",
                              "chunked, chunked",
                              "\"chunked\"",
                              "" }) {
    const std::string received =
      Exchange("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: " +
               std::string(coding) + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    CHECK_TEXT(received.find(" 200 ") == std::string::npos, coding);
    LONGS_EQUAL_TEXT(0, mHandled, coding);
  }
}

TEST(RequestFraming, ChunksAreDecoded)
{
  const std::string received =
    Exchange("POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
             "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  CHECK(received.find("body") != std::string::npos);
  LONGS_EQUAL(1, mHandled);
}
