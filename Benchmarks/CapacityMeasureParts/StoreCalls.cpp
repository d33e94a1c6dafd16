#include "Parts.h"

#include <Acaciavale/LibBilling/Ledger.h>
#include <Acaciavale/LibClaims/Claims.h>
#include <Acaciavale/LibMembership/LimitShares.h>

#include <LibMembership/Pacing.h>
#include <LibMembership/VmRegistration.h>

#include <LibMembership/SimulatedFleet.h>
#include <LibPlatform/FakeKeyValueStore.h>

#include <cstdio>
#include <functional>

namespace Acaciavale::CapacityMeasure {

namespace {

constexpr std::size_t kSizes[] = { 8, 330 };

void PrintCalls(const char* aDescription,
                const std::function<void(FakeKeyValueStore&)>& aOperation)
{
  FakeKeyValueStore store;
  aOperation(store);
  const FakeStoreCounts counts = store.Counts();
  std::printf("%-34s %6d %6d\n", aDescription, counts.mReads, counts.mWrites);
}

void CompleteOneClaim(FakeKeyValueStore& aStore)
{
  ClaimQuery query;
  query.mAccount = "jadran";
  query.mKey = "drill-1";
  query.mRequestDigest = "digest";
  query.mVm = "vm-1";
  query.mNow = UnixMilliseconds(1);
  query.mRetention = std::chrono::hours(72);
  query.mRunTimeout = std::chrono::seconds(60);
  AcquireClaim(aStore.Store(), query);
  (void)CompleteClaim(aStore.Store(), query, { 200, "text/plain", "done" });
}

void UpdateRegistration(FakeKeyValueStore& aStore)
{
  VmRegistration registration(aStore.Store(), 1);
  (void)registration.Update(SimulatedVm(1), std::chrono::seconds(30));
  (void)registration.List();
}

void UpdateLimits(FakeKeyValueStore& aStore)
{
  LimitOptions options;
  options.mVm = "vm-1";
  LimitShares shares(options, aStore.Store(), 1);
  shares.Update({ { "vm-1", 1 } });
  shares.Update({ { "vm-1", 1 } });
}

double CallsPerSecond(std::size_t aSize, Duration aPeriod)
{
  return static_cast<double>(aSize) /
         std::chrono::duration<double>(aPeriod).count();
}

} // namespace

void MeasureStoreCalls()
{
  std::printf("\ncalls of the key-value service\n%-34s %6s %6s\n",
              "what",
              "reads",
              "writes");
  PrintCalls("claim taken and completed", CompleteOneClaim);
  PrintCalls("VM's record written, VMs listed", UpdateRegistration);
  PrintCalls("epoch of limits, first and next step", UpdateLimits);
  std::printf("%5s %20s %20s\n", "VMs", "records_kept/s", "ledger_writes/s");
  for (const std::size_t size : kSizes) {
    std::printf("%5zu %20.1f %20.1f\n",
                size,
                CallsPerSecond(size, StorePeriod({}, size)),
                CallsPerSecond(size, LedgerPeriod(size)));
  }
}

} // namespace Acaciavale::CapacityMeasure
