#pragma once

/// Measurements for docs/CAPACITY.md. Random seeds are fixed; times and memory
/// sizes depend on the machine.
namespace Acaciavale::CapacityMeasure {

/// Measures size, processor time and memory of membership digests by the number
/// of VMs.
void MeasureDigests();
/// Measures the time until new settings, and the draining state of a VM, have
/// reached every VM.
void MeasureSpread();
/// Measures the time since the last heartbeat progress of live VMs, as recorded
/// by the other VMs.
void MeasureSilence();
/// Counts the key-value store calls of each mechanism that uses the store.
void MeasureStoreCalls();
/// Measures processor time, memory and socket traffic of complete Membership
/// instances that communicate over gRPC on the loopback interface.
void MeasureProcesses();

} // namespace Acaciavale::CapacityMeasure
