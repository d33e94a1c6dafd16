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
    Busy,   ///< Answers 503.
    Silent, ///< Takes calls and never answers.
  };

  explicit Store(boost::asio::io_context& aLoop);

  std::string Address() const { return mListener.Address(); }
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  std::optional<std::string> Value(const std::string& aKey) const;
  void SetMode(Mode aMode) { mMode = aMode; }
  int Calls() const { return mCalls; }

private:
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::int64_t mLease = 0;
  };

  void Serve(const std::shared_ptr<Relay::ClientSession>& aSession);
  void Range(Relay::ClientSession& aSession, const std::string& aPrefix);
  void Transact(Relay::ClientSession& aSession);

  std::map<std::string, Item> mItems;
  std::int64_t mRevision = 1;
  std::int64_t mLeases = 0;
  Mode mMode = Mode::Serving;
  int mCalls = 0;
  std::vector<std::shared_ptr<Relay::ClientSession>> mHeld;
  Relay::Listener mListener;
};

/// One endpoint, whose answers a test scripts.
class Replica
{
public:
  using Script =
    std::function<void(Replica& aSelf, std::shared_ptr<Relay::ClientSession>)>;

  Replica(boost::asio::io_context& aLoop, std::string aId, Script aScript);

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
  int mCallersGone = 0;
  std::vector<std::shared_ptr<Relay::ClientSession>> mHeld;

  /// The head of a good answer to the request.
  Relay::ResponseHead Good(const Relay::ClientSession& aSession) const;

private:
  std::string mId;
  Script mScript;
  Relay::Listener mListener;
};

/// Scripts.
Replica::Script Answers(std::string aBody);
Replica::Script Refuses(unsigned aStatus, bool aSaysNotRun);
Replica::Script Cuts();
Replica::Script Hangs();
/// Streams the events after the one asked for; with a cut it stops within the
/// event behind that one.
Replica::Script Streams(int aEvents, std::optional<int> aCutAfter = {});

struct Answer
{
  Relay::CallResult mEnd = Relay::CallResult::NotConnected;
  Relay::ResponseHead mHead;
  std::string mBody;
};

/// A platform with one VM, and what a caller does.
class World
{
public:
  World();
  ~World();

  /// An endpoint in the pool, listed in the store.
  Replica& Add(const std::string& aPool,
               const std::string& aId,
               Replica::Script aScript,
               const std::string& aState = "ready",
               const std::string& aVersion = "v1");

  /// Lists it anew with another state.
  void SetState(const Replica& aReplica,
                const std::string& aPool,
                const std::string& aState);

  /// The settings of most tests, with the keys given.
  void PutSettings(std::int64_t aVersion,
                   const std::vector<std::string>& aKeys = { "key-1" });

  /// An address that nothing listens at, as the kernel chose it.
  std::string FreeAddress();

  /// Starts the VM and waits until it is ready.
  void StartNode();

  /// Starts one without waiting.
  void BeginNode();

  /// Power off: nothing of the VM is left.
  void KillNode() { mNode.reset(); }

  /// Runs the loop until the condition holds; fails the test if it does not
  /// within a time that no healthy run comes near.
  void Until(const std::function<bool()>& aCondition);
  void RunFor(Duration aTime);

  /// Until the VM has read the store once more.
  void UntilRead();

  struct Request
  {
    std::string mMethod = "POST";
    std::string mTarget;
    std::string mBody = "body";
    std::map<std::string, std::string> mHeader;
  };
  Answer Call(Request aRequest);
  std::shared_ptr<Relay::OutboundCall> Begin(
    const Request& aRequest,
    const std::string& aAddress,
    const std::shared_ptr<Answer>& aAnswer,
    const std::function<void()>& aOnEnd);
  Answer Page(const std::string& aAddress, const std::string& aTarget);

  boost::asio::io_context mLoop{ 1 };
  Store mStore;
  NodeFile mFile;
  std::unique_ptr<Node> mNode;
  std::vector<std::unique_ptr<Replica>> mReplicas;
};

} // namespace Acaciavale::Platform::StandIns
