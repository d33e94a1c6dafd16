#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <vector>

using namespace Acaciavale;
using namespace Acaciavale::Platform::StandIns;

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kAnswerBytes = std::size_t{ 4 } << 20;
/// A stream that neither the operating system nor the VM can hold as a whole.
constexpr int kEvents = 1000;
constexpr std::size_t kEventBytes = 16384;
constexpr int kWindowBytes = 16384;
/// Longer than two retransmissions and than the silence of a dead peer.
constexpr Duration kPause = std::chrono::milliseconds(2500);

} // namespace

/// Callers that do not read for some seconds: their window is closed, but they
/// acknowledge.
TEST_GROUP(PausedReader)
{
  PlatformFixture mFixture;
  asio::ip::tcp::socket mSocket{ mFixture.mIoContext };
  std::size_t mReceivedBytes = 0;
  std::string mTail; ///< The last bytes received.
  error_code mEnd;

  void Ask(const std::string& aTarget)
  {
    const std::string address = mFixture.mNode->CallerAddress();
    const std::size_t colon = address.rfind(':');
    mSocket.open(asio::ip::tcp::v4());
    mSocket.set_option(asio::socket_base::receive_buffer_size(kWindowBytes));
    mSocket.connect(
      { asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) });
    asio::write(mSocket,
                asio::buffer("POST " + aTarget +
                             " HTTP/1.1\r\nHost: a.example\r\nContent-Length: "
                             "4\r\nKey: key-1\r\nAttempt-Id: id-1\r\n"
                             "Connection: close\r\n\r\nbody"));
    mSocket.non_blocking(true);
  }

  void ReadToEnd()
  {
    std::vector<char> buffer(65536);
    mFixture.RunUntil([&] {
      error_code failure;
      const std::size_t size = mSocket.read_some(asio::buffer(buffer), failure);
      mReceivedBytes += size;
      mTail.append(buffer.data(), size);
      mTail.erase(0, mTail.size() - std::min<std::size_t>(mTail.size(), 64));
      if (failure && failure != asio::error::would_block) {
        mEnd = failure;
      }
      return mEnd.failed();
    });
  }
};

TEST(PausedReader, GetsTheWholeAnswer)
{
  mFixture.PutSettings(1);
  const Replica& desk = mFixture.AddEndpoint(
    "desk", "i-1", RespondWith(std::string(kAnswerBytes, 'r')));
  mFixture.StartNode();
  Ask("/once/x");
  mFixture.RunUntil([&] { return desk.mArrivals.size() == 1; });
  mFixture.RunFor(kPause);
  ReadToEnd();
  CHECK(mEnd == asio::error::eof);
  CHECK(mReceivedBytes > kAnswerBytes);
}

/// The endpoint is not silent while the VM does not read from it.
TEST(PausedReader, GetsTheWholeStreamOfOneEndpoint)
{
  // NOTE: The subject is the pause, not how fast 16 MB are sent.
  mFixture.mRouteTimeoutMs = 30000;
  mFixture.mRouteGoalMs = 10000;
  mFixture.PutSettings(1);
  const Replica::Script script = [](Replica& aSelf, const auto& aSession) {
    aSession->BeginStream(aSelf.SuccessHead(*aSession));
    for (int event = 1; event <= kEvents; ++event) {
      std::string text = "id: ";
      text += std::to_string(event);
      text += "\ndata: ";
      text += std::string(kEventBytes, 'e');
      text += "\n\n";
      aSession->SendChunk(text);
    }
    aSession->EndStream();
  };
  const Replica& first = mFixture.AddEndpoint("engines", "i-1", script);
  const Replica& second = mFixture.AddEndpoint("engines", "i-2", script);
  mFixture.StartNode();
  Ask("/stream/x");
  mFixture.RunFor(kPause);
  ReadToEnd();
  CHECK(mEnd == asio::error::eof);
  CHECK(mTail.ends_with("e\n\n\r\n0\r\n\r\n"));
  LONGS_EQUAL(1, first.mArrivals.size() + second.mArrivals.size());
}

/// A caller that leaves is noticed at once, also behind a closed window.
TEST(PausedReader, IsNoticedWhenItLeaves)
{
  mFixture.PutSettings(1);
  const Replica& desk = mFixture.AddEndpoint(
    "desk", "i-1", RespondWith(std::string(kAnswerBytes, 'r')));
  mFixture.StartNode();
  Ask("/once/x");
  mFixture.RunUntil([&] { return desk.mArrivals.size() == 1; });
  mFixture.RunFor(std::chrono::milliseconds(300));
  const TimePoint leftAt = MonotonicNow();
  mSocket.close();
  bool isStopped = false;
  mFixture.mNode->Stop([&isStopped] { isStopped = true; });
  mFixture.RunUntil([&] { return isStopped; });
  // A stopping VM accepts connections for 2.5 s.
  CHECK(MonotonicNow() - leftAt < std::chrono::milliseconds(3000));
}

/// A caller that never reads on is not kept beyond the idle timeout.
TEST(PausedReader, IsGivenUpAfterTheIdleTimeout)
{
  mFixture.PutSettings(1);
  std::string settings = *mFixture.mStore.Value("op/config");
  const std::string limit = R"("max-body-bytes":65536)";
  settings.replace(
    settings.find(limit), limit.size(), limit + R"(,"idle-timeout-ms":1000)");
  mFixture.mStore.Put("op/config", settings);
  mFixture.AddEndpoint(
    "desk", "i-1", RespondWith(std::string(kAnswerBytes, 'r')));
  mFixture.StartNode();
  Ask("/once/x");
  mFixture.RunFor(std::chrono::milliseconds(4000));
  ReadToEnd();
  CHECK(mReceivedBytes < kAnswerBytes);
}
