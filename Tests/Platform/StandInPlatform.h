#pragma once

#include <Acaciavale/LibRelay/ClientSession.h>
#include <Acaciavale/LibRelay/OutboundCall.h>
#include <Node.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The platform's store, its endpoints and its callers, written from its pages
/// and run on the loop of the test.
namespace Acaciavale::Platform::StandIns {

class Store
{
public:
  enum class Mode
  {
    Serving,
    Unavailable,  ///< Answers 503.
    Unresponsive, ///< Takes calls and never answers.
  };

  explicit Store(boost::asio::io_context& aIoContext);

  std::string Address() const { return mListener.Address(); }
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  std::optional<std::string> Value(const std::string& aKey) const;
  void SetMode(Mode aMode) { mMode = aMode; }
  int CallCount() const { return mCallCount; }

private:
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::int64_t mLeaseId = 0;
  };

  void Serve(const std::shared_ptr<Relay::ClientSession>& aSession);
  void HandleRange(Relay::ClientSession& aSession, const std::string& aPrefix);
  void HandleTransaction(Relay::ClientSession& aSession);

  std::map<std::string, Item> mItems;
  std::int64_t mRevision = 1;
  std::int64_t mLastLeaseId = 0;
  Mode mMode = Mode::Serving;
  int mCallCount = 0;
  std::vector<std::shared_ptr<Relay::ClientSession>> mHeldSessions;
  Relay::Listener mListener;
};

/// One endpoint, whose answers a test scripts.
class Replica
{
public:
  using Script =
    std::function<void(Replica& aSelf, std::shared_ptr<Relay::ClientSession>)>;

  Replica(boost::asio::io_context& aIoContext, std::string aId, Script aScript);

  const std::string& Id() const { return mId; }
  std::string Address() const { return mListener.Address(); }
  void SetScript(Script aScript) { mScript = std::move(aScript); }

  /// Heads and bodies of the requests that arrived.
  struct Arrival
  {
    Relay::RequestHead mHead;
    std::string mBody;
  };
  std::vector<Arrival> mArrivals;
  int mDisconnectedCallers = 0;
  std::vector<std::shared_ptr<Relay::ClientSession>> mHeldSessions;

  /// The head of a good answer to the request.
  Relay::AnswerHead SuccessHead(const Relay::ClientSession& aSession) const;

private:
  std::string mId;
  Script mScript;
  Relay::Listener mListener;
};

/// Scripts.
Replica::Script RespondWith(std::string aBody);
Replica::Script RefuseWith(unsigned aStatus, bool aSetsNotExecuted);
Replica::Script BreakConnection();
Replica::Script NeverRespond();
/// Streams the events after the one asked for; with a cut it stops within the
/// event behind that one.
Replica::Script StreamEvents(int aEventCount,
                             std::optional<int> aBreakAfter = {});

struct Response
{
  Relay::CallEnd mResult = Relay::CallEnd::NotConnected;
  Relay::AnswerHead mHead;
  std::string mBody;
};

/// A platform with one VM, and what a caller does.
class PlatformFixture
{
public:
  PlatformFixture();
  ~PlatformFixture();

  /// An endpoint in the pool, listed in the store.
  Replica& AddEndpoint(const std::string& aPool,
                       const std::string& aId,
                       Replica::Script aScript,
                       const std::string& aState = "ready",
                       const std::string& aVersion = "v1");

  /// Lists it anew with another state.
  void SetEndpointState(const Replica& aReplica,
                        const std::string& aPool,
                        const std::string& aState);

  /// The settings of most tests, with the keys given.
  void PutSettings(std::int64_t aVersion,
                   const std::vector<std::string>& aApiKeys = { "key-1" });

  /// An address that nothing listens at, as the kernel chose it.
  std::string UnusedAddress();

  /// Starts the VM and waits until it is ready.
  void StartNode();

  /// Starts one without waiting.
  void StartNodeWithoutWaiting();

  /// Power off: nothing of the VM is left.
  void DestroyNode() { mNode.reset(); }

  /// Runs the loop until the condition holds; fails the test if it does not
  /// within a time that no healthy run comes near.
  void RunUntil(const std::function<bool()>& aCondition);
  void RunFor(Duration aTime);

  /// Until the VM has read the store once more.
  void RunUntilStoreRead();

  struct Request
  {
    std::string mMethod = "POST";
    std::string mTarget;
    std::string mBody = "body";
    std::map<std::string, std::string> mHeaders;
  };
  Response Call(Request aRequest);
  std::shared_ptr<Relay::OutboundCall> StartCall(
    const Request& aRequest,
    const std::string& aAddress,
    const std::shared_ptr<Response>& aResponse,
    const std::function<void()>& aOnEnd);
  Response FetchPage(const std::string& aAddress, const std::string& aTarget);

  boost::asio::io_context mIoContext{ 1 };
  Store mStore;
  NodeConfig mConfig;
  std::unique_ptr<Node> mNode;
  std::vector<std::unique_ptr<Replica>> mReplicas;
};

} // namespace Acaciavale::Platform::StandIns
