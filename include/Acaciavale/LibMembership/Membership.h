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

/// Which VMs live, and what they tell each other. Membership saves work; no
/// promise rests on it.
namespace Acaciavale {

/// What a VM says of itself in each digest.
struct VmState
{
  std::string mName;
  std::string mIncarnation;
  std::string mCallerAddress; ///< For callers, IP number and port.
  std::string mPeerAddress;   ///< For other VMs, IP number and port.
  std::string mFailureDomain;
  std::int64_t mWeight = 1; ///< Size of the VM.
  bool mDraining = false;
  std::int64_t mInFlight = 0;
  std::int64_t mSettingsGeneration = 0;
  bool mStoreReachable = true;
  std::uint64_t mHeartbeat = 0; ///< Rises with each digest of this VM.
  std::string mOperatorAddress; ///< For operators, IP number and port.

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

/// What this VM hands to the membership part.
struct MembershipOptions
{
  std::string
    mListenAddress; ///< IP number and port; port 0 lets the kernel choose.
  VmState mSelfState;
  Duration mDigestPeriod = std::chrono::milliseconds(250);
  Duration mSuspectAfter = std::chrono::milliseconds(1500);
  Duration mDeadAfter = std::chrono::seconds(5);
  std::size_t mFanOut = 3; ///< Peers that each digest goes to.
  std::int64_t mControlBytesPerSecond = 4096;
  /// Least time between reads of the list of VMs in the key-value service, and
  /// between writes of the own record; both grow with the fleet.
  Duration mMinStorePeriod = std::chrono::seconds(10);
  std::size_t mHolderDomains =
    2; ///< Failure domains that Replicate tries to reach.
  Duration mHoldTimeout = std::chrono::milliseconds(150); ///< Per attempt.

  auto operator<=>(const MembershipOptions&) const = default;
};

/// Called by the membership part, from its own threads.
struct MembershipCallbacks
{
  std::function<VmState()> mSelfState; ///< Current load, draining, generation.
  /// The settings body of a generation that a peer asked for, or empty.
  std::function<std::string(std::int64_t aGeneration)> mSettingsBody;
  /// A peer has newer settings: the record as stored, to be checked and taken.
  std::function<void(std::int64_t aGeneration, const std::string& aBody)>
    mOnNewerSettings;
  std::function<void(const std::vector<BillEntry>& aEntries)> mHoldEntries;
  std::function<void(const Incarnation& aIncarnation, std::uint64_t aUpTo)>
    mForgetEntries;
  std::function<void(const Incarnation& aIncarnation)> mOnVmDead;
  /// Evidence gathered here since the last call, for the others.
  std::function<EvidenceView()> mCollectEvidence;
  std::function<void(const EvidenceView& aEvidence)> mMergeEvidence;
};

/// gRPC between VMs: digests by gossip, settings, held bill entries.
class Membership
{
public:
  Membership(MembershipOptions aOptions,
             MembershipCallbacks aCallbacks,
             KeyValueStore aStore,
             std::uint64_t aSeed);
  ~Membership();

  /// Starts the gRPC server and the threads; returns the address bound.
  ErrorOr<std::string> Start();
  /// Tells the peers that this VM leaves, and stops.
  void Stop();

  /// Tells the peers now what mSelf says, such as that this VM drains, and
  /// brings the record in the key-value service up to date.
  void Announce();

  /// All VMs known, this one among them, ordered by name and incarnation.
  std::vector<Member> Members() const;
  /// VMs that are not dead, this one among them.
  std::size_t LiveCount() const;
  /// Sends the entries to live peers in failure domains other than this VM's;
  /// returns how many distinct domains acknowledged them. Blocks for at most
  /// three attempts of the hold deadline.
  std::size_t Replicate(const std::vector<BillEntry>& aEntries);
  void SendForget(const Incarnation& aIncarnation, std::uint64_t aUpTo);
  /// Bytes that this VM sent to its peers for control since the start, with
  /// the headers of each call: digests, evidence and settings.
  std::int64_t ControlBytesSent() const;
  /// Bytes sent for bill entries; these grow with the requests, not the fleet.
  std::int64_t EntryBytesSent() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
