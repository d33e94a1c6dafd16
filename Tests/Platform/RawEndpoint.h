#pragma once

#include "StandInPlatform.h"

#include <Acaciavale/LibCore/Time.h>

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Acaciavale::Platform::StandIns {

/// An endpoint that writes given bytes to each request, at given times, and
/// then ends the connection. It can send what no HTTP library would.
class RawEndpoint
{
public:
  /// Stands in the written bytes for the id of the request.
  static constexpr char kRequestId[] = "REQUEST-ID";

  struct Write
  {
    std::string mBytes;
    Duration mAfter{}; ///< Time since the previous write.
  };

  enum class End
  {
    Close,
    Reset,
    ShutDownAndReset, ///< Ends its side before the reset.
    KeepOpen,
  };

  /// What is written to one request.
  struct Answer
  {
    std::vector<Write> mWrites;
    End mEnd = End::Close;
  };

  /// Returns the answer to the text of a request.
  using Script = std::function<Answer(const std::string&)>;

  RawEndpoint(boost::asio::io_context& aIoContext, Script aScript);
  RawEndpoint(boost::asio::io_context& aIoContext,
              std::vector<Write> aWrites,
              End aEnd = End::Close);

  std::string Address() const;
  int Arrivals() const { return mArrivals; }
  void ForgetArrivals() { mArrivals = 0; }
  /// What was read of the latest request.
  const std::string& LatestRequest() const { return mLatestRequest; }

private:
  struct Connection;
  void Accept();
  void WriteNext(const std::shared_ptr<Connection>& aConnection,
                 std::size_t aIndex);

  boost::asio::ip::tcp::acceptor mAcceptor;
  Script mScript;
  int mArrivals = 0;
  std::string mLatestRequest;
};

/// The value of a header in the text of a request; empty if there is none.
std::string HeaderIn(const std::string& aRequest, const std::string& aName);

/// A head with the endpoint's stamp and the id of the request; aFields are
/// lines with their ends.
std::string RawHead(const std::string& aStatusLine,
                    const std::string& aFields = {});

/// The text of the events with these ids.
std::string EventsText(int aFirst, int aLast);

/// Base of the test groups in which a raw endpoint responds.
struct RawEndpointTest : public Utest
{
  PlatformFixture mFixture;
  std::unique_ptr<RawEndpoint> mEndpoint;

  /// Starts a VM that knows one raw endpoint of the pool.
  void Start(std::vector<RawEndpoint::Write> aWrites,
             const std::string& aPool,
             RawEndpoint::End aEnd = RawEndpoint::End::Close);

  /// Lists an endpoint in the store of the platform.
  void List(const std::string& aId,
            const std::string& aPool,
            const RawEndpoint& aEndpoint);

  Response Call(const std::string& aTarget);

  /// Repeats the request until the raw endpoint gets it.
  Response CallUntilUsed(const std::string& aTarget);
};

} // namespace Acaciavale::Platform::StandIns
