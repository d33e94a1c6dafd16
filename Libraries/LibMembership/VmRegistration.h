#pragma once

#include <Acaciavale/LibMembership/Membership.h>

#include <Acaciavale/LibCore/Random.h>

#include <string>
#include <vector>

/// Maintains this VM's record in the key-value service under a lease, and reads
/// the records of all VMs. Not thread-safe.
namespace Acaciavale {

class VmRegistration
{
public:
  VmRegistration(KeyValueStore aStore, std::uint64_t aSeed);

  /// Renews the lease, or grants a new one, and writes the record if it is
  /// missing or outdated.
  ErrorOr<void> Update(const VmState& aState, Duration aTimeToLive);
  /// Lists the VMs that have a record. Malformed records are skipped.
  ErrorOr<std::vector<VmState>> List() const;
  /// Revokes the lease, which deletes the record.
  void Revoke();

private:
  ErrorOr<void> RenewLease(Duration aTimeToLive);
  ErrorOr<void> Write(const VmState& aState);

  KeyValueStore mStore;
  Random mRandom;
  std::int64_t mLeaseId = 0;   ///< 0 while there is no lease.
  bool mRecordWritten = false; ///< Whether the record exists under the lease.
  VmState mWrittenFields;      ///< State as of the last write.
};

} // namespace Acaciavale
