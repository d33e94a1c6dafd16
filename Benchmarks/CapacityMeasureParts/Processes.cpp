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
/// Until nearly all connections are open.
constexpr auto kWarmPerVm = std::chrono::milliseconds(700);
constexpr auto kMeasured = std::chrono::seconds(6);
constexpr int kEstablished = 1; ///< The state in tcp_info.
constexpr double kPageBytes = 4096;
/// IP and TCP headers with timestamps.
constexpr double kHeaderBytes = 52;

struct SocketSums
{
  double mSockets = 0;
  double mBytes = 0;
  double mSegments = 0;
};

/// Sums over this process' own sockets; both ends of each connection are here,
/// so sent bytes are those of all VMs together.
SocketSums SumSockets()
{
  SocketSums sums;
  DIR* folder = opendir("/proc/self/fd");
  while (const dirent* entry = readdir(folder)) {
    const int descriptor = std::atoi(entry->d_name);
    tcp_info info{};
    socklen_t length = sizeof info;
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 ||
        info.tcpi_state != kEstablished) {
      continue;
    }
    sums.mSockets += 1;
    sums.mBytes += static_cast<double>(info.tcpi_bytes_sent);
    sums.mSegments += info.tcpi_segs_out;
  }
  closedir(folder);
  return sums;
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

double BytesSent(const Fleet& aFleet)
{
  double bytes = 0;
  for (const auto& vm : aFleet) {
    bytes += static_cast<double>(vm->ControlBytesSent());
  }
  return bytes;
}

void MeasureSize(std::size_t aSize)
{
  const double memoryBefore = ResidentBytes();
  FakeKeyValueStore store;
  const Fleet fleet = StartFleet(store, aSize);
  std::this_thread::sleep_for(kWarmPerVm * aSize);
  const double processor = ProcessorSeconds();
  const double counted = BytesSent(fleet);
  const SocketSums before = SumSockets();
  std::this_thread::sleep_for(kMeasured);
  const SocketSums after = SumSockets();
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  const double vms = static_cast<double>(aSize);
  std::printf("%5zu %10.0f %10.1f %10.3f %10.0f %12.1f %12.0f\n",
              aSize,
              after.mSockets,
              (ResidentBytes() - memoryBefore) / vms / 1024,
              (ProcessorSeconds() - processor) / seconds / vms * 100,
              (BytesSent(fleet) - counted) / seconds / vms,
              (after.mSegments - before.mSegments) / seconds / vms,
              (after.mBytes - before.mBytes +
               (after.mSegments - before.mSegments) * kHeaderBytes) /
                seconds / vms);
}

} // namespace

void MeasureProcesses()
{
  std::printf(
    "\nmembership parts in one process over gRPC on loopback, default "
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
