#include "Parts.h"

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibMembership/Membership.h>

#include <LibMembership/SimulatedFleet.h>
#include <LibPlatform/FakeKeyValueStore.h>

#include <cstdio>
#include <dirent.h>
#include <fstream>
#include <linux/tcp.h>
#include <memory>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Acaciavale::CapacityMeasure {

namespace {

constexpr std::size_t kSizes[] = { 8, 16, 32, 64 };
/// Warm-up time per VM, after which nearly all connections are open.
constexpr auto kWarmUpPerVm = std::chrono::milliseconds(700);
constexpr auto kMeasurementTime = std::chrono::seconds(6);
/// Value of tcp_info::tcpi_state for an established connection.
constexpr int kEstablished = 1;
constexpr double kPageBytes = 4096;
/// Size of the IP and TCP headers of a segment, with the timestamp option.
constexpr double kSegmentHeaderBytes = 52;

struct SocketTotals
{
  double mSockets = 0;
  double mBytes = 0;
  double mSegments = 0;
};

/// Sums the counters of all established TCP sockets of this process. Both ends
/// of each connection belong to this process, so the bytes sent are the traffic
/// of all VMs together.
SocketTotals ReadSocketTotals()
{
  SocketTotals totals;
  DIR* folder = opendir("/proc/self/fd");
  while (const dirent* entry = readdir(folder)) {
    const int descriptor = std::atoi(entry->d_name);
    tcp_info info{};
    socklen_t length = sizeof info;
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 ||
        info.tcpi_state != kEstablished) {
      continue;
    }
    totals.mSockets += 1;
    totals.mBytes += static_cast<double>(info.tcpi_bytes_sent);
    totals.mSegments += info.tcpi_segs_out;
  }
  closedir(folder);
  return totals;
}

double ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * kPageBytes;
}

double ProcessorSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

using Fleet = std::vector<std::unique_ptr<Membership>>;

Fleet StartFleet(FakeKeyValueStore& aStore, std::size_t aSize)
{
  Fleet fleet;
  for (std::size_t index = 0; index < aSize; ++index) {
    MembershipOptions options;
    options.mListenAddress = "127.0.0.1:0";
    options.mSelfState = SimulatedVm(index);
    fleet.push_back(std::make_unique<Membership>(
      options, MembershipCallbacks{}, aStore.Store(), index));
    (void)fleet.back()->Start();
  }
  return fleet;
}

double ControlBytesSentBy(const Fleet& aFleet)
{
  double bytes = 0;
  for (const auto& vm : aFleet) {
    bytes += static_cast<double>(vm->ControlBytesSent());
  }
  return bytes;
}

void MeasureSize(std::size_t aSize)
{
  const double residentBytesBefore = ResidentBytes();
  FakeKeyValueStore store;
  const Fleet fleet = StartFleet(store, aSize);
  std::this_thread::sleep_for(kWarmUpPerVm * aSize);
  const double processorSecondsBefore = ProcessorSeconds();
  const double controlBytesBefore = ControlBytesSentBy(fleet);
  const SocketTotals socketsBefore = ReadSocketTotals();
  std::this_thread::sleep_for(kMeasurementTime);
  const SocketTotals socketsAfter = ReadSocketTotals();
  const double seconds =
    std::chrono::duration<double>(kMeasurementTime).count();
  const double vmCount = static_cast<double>(aSize);
  std::printf(
    "%5zu %10.0f %10.1f %10.3f %10.0f %12.1f %12.0f\n",
    aSize,
    socketsAfter.mSockets,
    (ResidentBytes() - residentBytesBefore) / vmCount / 1024,
    (ProcessorSeconds() - processorSecondsBefore) / seconds / vmCount * 100,
    (ControlBytesSentBy(fleet) - controlBytesBefore) / seconds / vmCount,
    (socketsAfter.mSegments - socketsBefore.mSegments) / seconds / vmCount,
    (socketsAfter.mBytes - socketsBefore.mBytes +
     (socketsAfter.mSegments - socketsBefore.mSegments) * kSegmentHeaderBytes) /
      seconds / vmCount);
}

} // namespace

void MeasureProcesses()
{
  std::printf(
    "\nmembership instances in one process over gRPC on loopback, default "
    "settings, per VM\n");
  std::printf("%5s %10s %10s %10s %10s %12s %12s\n",
              "VMs",
              "sockets",
              "KiB",
              "core_%",
              "counted_B/s",
              "segments/s",
              "wire_B/s");
  ConfigureLog(LogLevel::Error, LogFormat::Text);
  for (const std::size_t size : kSizes) {
    MeasureSize(size);
  }
}

} // namespace Acaciavale::CapacityMeasure
