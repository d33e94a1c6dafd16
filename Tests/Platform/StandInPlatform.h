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

/// Stand-ins for the platform's store, endpoints and callers, according to
/// the platform's documentation. They run on the event loop of the test.
namespace Acaciavale::Platform::StandIns {

Relay::ResponseHead MakeHead(unsigned aStatus);

/// An in-memory key-value store with the platform's HTTP interface.
class Store
{
public:
  enum class Mode
  {
    Serving,
    Unavailable,  ///< Responds with status 503.
    Unresponsive, ///< Accepts calls and never responds.
  };

  explicit Store(boost::asio::io_context& aIoContext);

  std::string Address() const { return mListener.Address(); }
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  std::optional<std::string> Value(const std::string& aKey) const;
  std::vector<std::string> KeysWith(const std::string& aPrefix) const;
  /// Returns the lease of the key's entry; 0: no lease or no entry.
  std::int64_t LeaseOf(const std::string& aKey) const;
  void SetMode(Mode aMode) { mMode = aMode; }
  /// From now on, does not respond to reads that would return the key.
  void HoldReadsOf(std::string aKey) { mHeldKey = std::move(aKey); }
  /// Sets the time that each read takes from now on.
  void SetReadDelay(Duration aDelay) { mReadDelay = aDelay; }
  int CallCount() const { return mCallCount; }

  /// Keeps a copy of the entries that have no lease, and of the revision.
  void SaveCopy();
  /// Comes back from the copy: later writes and all leases are gone, revisions
  /// and leases are given out again, and the era rises.
  void ReturnFromCopy();
  /// Sets the text of the header that states the era; empty: no header.
  void SetEraHeader(std::string aText) { mEraHeader = std::move(aText); }
  std::int64_t Revision() const { return mRevision; }
  std::string EraHeader() const { return mEraHeader; }

private:
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::int64_t mLeaseId = 0;
  };

  void Serve(const std::shared_ptr<Relay::ClientSession>& aSession);
  void Respond(Relay::ClientSession& aSession,
               unsigned aStatus,
               const std::string& aBody) const;
  void HandleRange(const std::shared_ptr<Relay::ClientSession>& aSession,
                   const std::string& aPrefix,
                   const std::string& aAfterKey);
  void HandleTransaction(Relay::ClientSession& aSession);

  std::map<std::string, Item> mItems;
  std::int64_t mRevision = 1;
  std::int64_t mLastLeaseId = 0;
  std::map<std::string, Item> mCopiedItems;
  std::int64_t mCopiedRevision = 1;
  int mEra = 1;
  std::string mEraHeader = "1";
  Mode mMode = Mode::Serving;
  std::optional<std::string> mHeldKey;
  Duration mReadDelay{};
  boost::asio::io_context& mIoContext;
  int mCallCount = 0;
  std::vector<std::shared_ptr<Relay::ClientSession>> mHeldSessions;
  Relay::Listener mListener;
};

/// An endpoint (the platform calls it a replica) with scripted responses.
class Replica
{
public:
  using Script =
    std::function<void(Replica& aSelf, std::shared_ptr<Relay::ClientSession>)>;

  Replica(boost::asio::io_context& aIoContext, std::string aId, Script aScript);

  const std::string& Id() const { return mId; }
  std::string Address() const { return mListener.Address(); }
  void SetScript(Script aScript) { mScript = std::move(aScript); }
  /// Sets the text of the header in which responses of status 503 state for how
  /// long the endpoint wants no requests; empty: no header.
  void SetRetryAfter(std::string aText) { mRetryAfter = std::move(aText); }
  /// Sets the text of the header in which all responses state how many requests
  /// a second the endpoint takes from all VMs together; empty: no header.
  void SetLimit(std::string aText) { mLimit = std::move(aText); }
  /// Whether all responses state that the endpoint is about to stop.
  void SetSaysThatItLeaves(bool aSays) { mSaysThatItLeaves = aSays; }
  /// Ends as a process that crashes does: all connections break, and new ones
  /// are refused.
  void Crash();
  bool HasCrashed() const { return mHasCrashed; }

  /// A request that arrived at the endpoint.
  struct Arrival
  {
    Relay::RequestHead mHead;
    std::string mBody;
    TimePoint mAt{};
  };
  std::vector<Arrival> mArrivals;
  int mDisconnectedCallers = 0;
  std::vector<std::shared_ptr<Relay::ClientSession>> mHeldSessions;

  /// Returns the head of a successful response to the open request.
  Relay::ResponseHead SuccessHead(const Relay::ClientSession& aSession) const;
  /// Returns the head of a response without the endpoint's stamp.
  Relay::ResponseHead RefusalHead(unsigned aStatus) const;

private:
  std::string mId;
  Script mScript;
  bool mSaysThatItLeaves = false;
  bool mHasCrashed = false;
  std::string mRetryAfter;
  std::string mLimit;
  Relay::Listener mListener;
};

/// Scripts for the responses of a Replica.
Replica::Script RespondWith(std::string aBody);
Replica::Script RefuseWith(unsigned aStatus, bool aSetsNotExecuted);
Replica::Script BreakConnection();
Replica::Script NeverRespond();
/// Crashes on requests whose prompt has the part, after the head of the
/// response; streams one event to all others.
Replica::Script CrashOnPart(std::string aPartId);
/// Streams the events that follow the request's Last-Event-Id. If aBreakAfter
/// is set, the connection breaks within the event after that one.
Replica::Script StreamEvents(int aEventCount,
                             std::optional<int> aBreakAfter = {});

struct Response
{
  Relay::CallResult mResult = Relay::CallResult::NotConnected;
  Relay::ResponseHead mHead;
  std::string mBody;
};

/// A platform with one VM, and functions for the calls of a caller.
class PlatformFixture
{
public:
  PlatformFixture();
  ~PlatformFixture();

  /// Starts an endpoint of the pool and lists it in the store.
  Replica& AddEndpoint(const std::string& aPool,
                       const std::string& aId,
                       Replica::Script aScript,
                       const std::string& aState = "ready",
                       const std::string& aVersion = "v1");

  /// Rewrites the endpoint's store entry with another state.
  void SetEndpointState(const Replica& aReplica,
                        const std::string& aPool,
                        const std::string& aState);

  /// Replaces a text in the endpoint's store entry.
  void EditEntry(const Replica& aReplica,
                 const std::string& aText,
                 const std::string& aReplacement);

  /// Stores the settings that most tests use, with the given API keys and
  /// additional routes.
  void PutSettings(std::int64_t aVersion,
                   const std::vector<std::string>& aApiKeys = { "key-1" },
                   int aAdditionalRoutes = 0);

  /// Returns an address with a port on which no process listens. The kernel
  /// gives it to no outgoing connection.
  std::string UnusedAddress();

  /// Starts the VM and waits until it is ready.
  void StartNode();

  /// Starts the VM without waiting until it is ready.
  void StartNodeWithoutWaiting();

  /// Starts several VMs, and waits until they know each other.
  std::vector<std::unique_ptr<Node>> StartNodes(int aCount);

  /// Destroys the VM without stopping it, as a loss of power does.
  void DestroyNode() { mNode.reset(); }

  /// Runs the event loop until the condition holds. Fails the test after a
  /// timeout that is far longer than any successful run.
  void RunUntil(const std::function<bool()>& aCondition);
  void RunFor(Duration aTime);

  /// Runs the event loop until the VM has read the store once more.
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
  /// Sends the bytes to the address and returns all that comes back until the
  /// connection is closed or silent. aEnd receives how it was closed.
  std::string ExchangeBytes(const std::string& aAddress,
                            const std::string& aBytes,
                            boost::system::error_code* aEnd = nullptr);
  Response FetchPage(const std::string& aAddress, const std::string& aTarget);

  boost::asio::io_context mIoContext{ 1 };
  Store mStore;
  NodeConfig mConfig;
  /// Time limit of most routes, and goal of all, in the settings that are put.
  int mRouteTimeoutMs = 5000;
  int mRouteGoalMs = 400;
  std::unique_ptr<Node> mNode;
  std::vector<std::unique_ptr<Replica>> mReplicas;
};

} // namespace Acaciavale::Platform::StandIns
