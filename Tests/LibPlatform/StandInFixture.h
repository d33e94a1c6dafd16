#pragma once

#include "LibPlatform/HttpClient.h"
#include "StandIns/SimulatedPlatform.h"

#include <Acaciavale/LibPlatform/HttpKeyValueClient.h>

#include <memory>
#include <string>

namespace Acaciavale {

/// Runs the stand-ins of a small deployment in this process.
struct StandInFixture
{
  explicit StandInFixture(const std::string& aDeployment = "jadran",
                          int aSlots = 16)
    : mWorld({ 7, 0, StandIns::Milliseconds(20) },
             *StandIns::MakeDeployment({ aDeployment, 2, 1, aSlots, 0.2 }))
  {
    mWorld.Listen(*mThreads);
  }

  std::string Address(const std::string& aPart) const
  {
    return mWorld.Addresses().at(aPart);
  }

  KeyValueClientOptions ClientOptions() const
  {
    KeyValueClientOptions options;
    options.mAddress = Address("key-value");
    options.mCallsPerSecond = 1e6;
    options.mCallBurst = 1'000'000;
    options.mTimeout = std::chrono::seconds(5);
    options.mBreakerOpenTime = std::chrono::hours(1);
    return options;
  }

  ErrorOr<HttpResponse> Call(const std::string& aMethod,
                             const std::string& aPart,
                             const std::string& aPath,
                             const std::string& aBody = "") const
  {
    return SharedHttpClient().Call({ aMethod,
                                     "http://" + Address(aPart) + aPath,
                                     aBody,
                                     std::chrono::seconds(5) });
  }

  void SetFault(const std::string& aBody) { mWorld.Faults().Set(aBody); }

  StandIns::SimulatedPlatform mWorld;
  std::unique_ptr<StandIns::HttpServer> mThreads =
    std::make_unique<StandIns::HttpServer>(2);
};

} // namespace Acaciavale
