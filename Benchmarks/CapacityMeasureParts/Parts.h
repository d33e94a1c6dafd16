#pragma once

/// The measurements behind docs/CAPACITY.md. Seeds are fixed; times and bytes
/// are of this machine.
namespace Acaciavale::CapacityMeasure {

/// Bytes, processor time and memory of digests against the number of VMs.
void MeasureDigests();
/// Time until new settings and a draining VM are known to every VM.
void MeasureSpread();
/// How long nothing is heard of a live VM.
void MeasureSilence();
/// Calls of the key-value service by each mechanism.
void MeasureStoreCalls();
/// Whole membership parts over gRPC on loopback: processor time, memory and
/// bytes on the sockets.
void MeasureProcesses();

} // namespace Acaciavale::CapacityMeasure
