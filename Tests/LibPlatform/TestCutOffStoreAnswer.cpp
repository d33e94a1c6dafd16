#include <Acaciavale/LibPlatform/HttpKeyValueClient.h>

#include <LibEndpoint/ScriptedEndpoint.h>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr std::chrono::milliseconds kPause(50);
/// More than the buffers of both sockets take.
constexpr std::size_t kUploadBytes = 12U << 20;
constexpr char kWritten[] = R"({"revision":7})";

/// A store that writes the bytes to each call and ends the connection.
struct CutOffStore
{
  explicit CutOffStore(std::string aBytes, bool aResetsEarly = false)
    : mBytes(std::move(aBytes))
    , mResetsEarly(aResetsEarly)
  {
    mEndpoint.mAnswersEarly = aResetsEarly;
  }

  ~CutOffStore()
  {
    mContext.stop();
    mThread.join();
  }

  KeyValueClientOptions ClientOptions() const
  {
    KeyValueClientOptions options;
    options.mAddress = mEndpoint.Address();
    options.mCallsPerSecond = 1e6;
    options.mCallBurst = 1000;
    options.mTimeout = std::chrono::seconds(5);
    return options;
  }

  std::string mBytes;
  /// Whether the connection is reset while the call is written.
  bool mResetsEarly;
  asio::io_context mContext{ 1 };
  ScriptedEndpoint mEndpoint{ mContext, [this](auto& aSocket, int) {
                               WriteText(aSocket, mBytes);
                               if (mResetsEarly) {
                                 std::this_thread::sleep_for(kPause);
                                 Reset(aSocket);
                               } else {
                                 aSocket.close();
                               }
                             } };
  std::thread mThread{ [this] { mContext.run(); } };
};

} // namespace

TEST_GROUP(CutOffStoreAnswer){};

/// A status without the end of its head is not the store's word that there is
/// no such key.
TEST(CutOffStoreAnswer, DoesNotTellThatAKeyIsMissing)
{
  const std::string head = "HTTP/1.1 404 Not Found\r\nServer: store\r\n";
  for (std::size_t bytes = 0; bytes <= head.size(); ++bytes) {
    CutOffStore store(head.substr(0, bytes));
    HttpKeyValueClient client(store.ClientOptions());
    const auto entry = client.Store().mRead("a");
    CHECK_FALSE(entry.has_value());
    CHECK(entry.error().mCode == ErrorCode::Unavailable);
  }
}

/// The write may have been committed.
TEST(CutOffStoreAnswer, LeavesTheOutcomeOfAWriteUnknown)
{
  const std::string head = "HTTP/1.1 409 Conflict\r\nServer: store\r\n";
  for (std::size_t bytes = 0; bytes <= head.size(); ++bytes) {
    CutOffStore store(head.substr(0, bytes));
    HttpKeyValueClient client(store.ClientOptions());
    const auto revision = client.Store().mCompareAndSwap({ "a", "one", 0, 0 });
    CHECK_FALSE(revision.has_value());
    CHECK(revision.error().mCode == ErrorCode::OutcomeUnknown);
  }
}

TEST(CutOffStoreAnswer, WithAnInvalidHeadTellsNothing)
{
  for (const std::string head : kBrokenHeads) {
    CutOffStore store(head + "\r\n" + kWritten);
    HttpKeyValueClient client(store.ClientOptions());
    const auto entry = client.Store().mRead("a");
    CHECK_TEXT(!entry.has_value(), head.c_str());
    CHECK_TEXT(entry.error().mCode == ErrorCode::Unavailable, head.c_str());
    const auto revision = client.Store().mCompareAndSwap({ "a", "one", 0, 0 });
    CHECK_TEXT(!revision.has_value(), head.c_str());
    CHECK_TEXT(revision.error().mCode == ErrorCode::OutcomeUnknown,
               head.c_str());
  }
}

TEST(CutOffStoreAnswer, ThatIsResetDuringTheCallAcknowledgesNothing)
{
  CutOffStore store(std::string("HTTP/1.1 200 OK\r\n\r\n") + kWritten, true);
  HttpKeyValueClient client(store.ClientOptions());
  const auto revision = client.Store().mCompareAndSwap(
    { "a", std::string(kUploadBytes, 'b'), 0, 0 });
  CHECK_FALSE(revision.has_value());
  CHECK(revision.error().mCode == ErrorCode::OutcomeUnknown);
}
