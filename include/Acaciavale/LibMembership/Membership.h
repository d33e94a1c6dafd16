#pragma once

#include <Acaciavale/LibBilling/BillEntry.h>
#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibRouting/Evidence.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Group membership of the VMs, failure detection and the calls between VMs.
/// Membership is an optimization only: no guarantee of the system depends on it
/// being right.
namespace Acaciavale {

/// State that a VM publishes about itself.
struct VmState
{
  std::string mName;
  std::string mIncarnation;
  std::string mCallerAddress; ///< IP address and port for callers.
  std::string mPeerAddress;   ///< IP address and port for other VMs.
  std::string mFailureDomain;
  std::int64_t mWeight = 1; ///< Capacity of the VM relative to others.
  bool mDraining = false;
  std::int64_t mInFlight = 0;
  std::int64_t mSettingsGeneration = 0;
  bool mStoreReachable = true;
  std::uint64_t mHeartbeat = 0; ///< Incremented in each round of the VM.
  std::string mOperatorAddress; ///< IP address and port for operators.

  auto operator<=>(const VmState&) const = default;
};

enum class VmHealth
{
  Alive,
  Suspect,
  Dead,
};

struct Member
{
  VmState mState;
  VmHealth mHealth = VmHealth::Alive;

  auto operator<=>(const Member&) const = default;
};

/// Configuration of Membership.
struct MembershipOptions
{
  /// IP address and port of the gRPC server. Port 0 lets the kernel choose.
  std::string mListenAddress;
  VmState mSelfState; ///< State of this VM if no callback provides it.
  Duration mDigestPeriod = std::chrono::milliseconds(250);
  Duration mSuspectAfter = std::chrono::milliseconds(1500);
  Duration mDeadAfter = std::chrono::seconds(5);
  std::size_t mFanOut = 3; ///< Number of peers contacted in each gossip round.
  std::int64_t mControlBytesPerSecond = 4096; ///< Budget for traffic sent.
  /// Minimum period between reads of the list of VMs in the key-value service,
  /// and between lease renewals of this VM's record. StorePeriod() scales it
  /// with the size of the fleet.
  Duration mMinStorePeriod = std::chrono::seconds(10);
  /// Number of failure domains in which Replicate tries to store entries.
  std::size_t mHolderDomains = 2;
  /// Timeout of one attempt of Replicate.
  Duration mHoldTimeout = std::chrono::milliseconds(150);

  auto operator<=>(const MembershipOptions&) const = default;
};

/// Callbacks of Membership, called from its own threads. Each may be empty.
struct MembershipCallbacks
{
  /// Returns the current state of this VM.
  std::function<VmState()> mSelfState;
  /// Returns the settings body of the generation that a peer requests, or an
  /// empty string if this VM does not have it.
  std::function<std::string(std::int64_t aGeneration)> mSettingsBody;
  /// Called with settings fetched from a peer that has a newer generation, as
  /// stored in the key-value service. The callee validates and applies them.
  std::function<void(std::int64_t aGeneration, const std::string& aBody)>
    mOnNewerSettings;
  /// Stores copies of bill entries for a peer.
  std::function<void(const std::vector<BillEntry>& aEntries)> mHoldEntries;
  /// Drops the stored entries of the incarnation up to this entry number.
  std::function<void(const Incarnation& aIncarnation, std::uint64_t aUpTo)>
    mForgetEntries;
  /// Called once for each incarnation that left or is declared dead.
  std::function<void(const Incarnation& aIncarnation)> mOnVmDead;
  /// Returns the evidence that this VM gathered since the last call.
  std::function<EvidenceView()> mCollectEvidence;
  /// Merges evidence that other VMs gathered.
  std::function<void(const EvidenceView& aEvidence)> mMergeEvidence;
};

/// Exchanges digests, settings and bill entries with other VMs over gRPC.
class Membership
{
public:
  Membership(MembershipOptions aOptions,
             MembershipCallbacks aCallbacks,
             KeyValueStore aStore,
             std::uint64_t aSeed);
  ~Membership();

  /// Starts the gRPC server and the threads. Returns the address that the
  /// server listens on.
  ErrorOr<std::string> Start();
  /// Announces to peers that this VM leaves, then stops the server and threads.
  void Stop();

  /// Publishes the current state of this VM at once, to the peers and in its
  /// record in the key-value service, for example when it starts draining.
  void Announce();

  /// All VMs on record including this one, sorted by name and incarnation.
  std::vector<Member> Members() const;
  /// Number of VMs that are not dead, including this one.
  std::size_t LiveCount() const;
  /// Sends the entries to live peers in failure domains other than this VM's.
  /// Returns the number of failure domains that acknowledged them. Blocks for
  /// at most three times mHoldTimeout.
  std::size_t Replicate(const std::vector<BillEntry>& aEntries);
  /// Tells the peers that hold entries of the incarnation to drop those up to
  /// this entry number. Does not wait for replies.
  void SendForget(const Incarnation& aIncarnation, std::uint64_t aUpTo);
  /// Bytes of control traffic (digests, evidence, settings) sent to peers, with
  /// an estimate of the protocol overhead of each call.
  std::int64_t ControlBytesSent() const;
  /// Bytes sent for bill entries, counted apart since they grow with the number
  /// of requests and not with the fleet.
  std::int64_t EntryBytesSent() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
