#pragma once

#include <Acaciavale/LibMembership/Membership.h>

#include <Acaciavale/LibCore/Random.h>

#include <string>
#include <vector>

/// Keeps this VM's record in the key-value service. Not thread-safe: one
/// thread uses it.
namespace Acaciavale {

class VmRegistration
{
public:
  VmRegistration(KeyValueStore aStore, std::uint64_t aSeed);

  /// Keeps the lease and writes the record if it is missing or out of date.
  ErrorOr<void> Update(const VmState& aState, Duration aTimeToLive);
  /// The VMs that the service knows; records that cannot be read are left out.
  ErrorOr<std::vector<VmState>> List() const;
  void Revoke();

private:
  ErrorOr<void> RenewLease(Duration aTimeToLive);
  ErrorOr<void> Write(const VmState& aState);

  KeyValueStore mStore;
  Random mRandom;
  std::int64_t mLeaseId = 0;
  bool mRecordWritten = false;
  VmState mWrittenFields;
};

} // namespace Acaciavale
