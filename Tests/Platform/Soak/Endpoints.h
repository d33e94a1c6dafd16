#pragma once

#include "Ledger.h"

#include <standins.hh>

#include <array>
#include <cstdint>

namespace Acaciavale::Soak {

/// The endpoints of a soak. Some of their responses are refused, late, cut off,
/// sent twice or not HTTP, as the seed draws.
class Endpoints
{
public:
  Endpoints(Ledger& aLedger, std::uint64_t aSeed);

  void Start(review::Store& aStore, const review::Platform& aPlatform);

  static constexpr char kRecords[] = "records";
  static constexpr char kModel[] = "model";

private:
  enum class Fault
  {
    None,
    Refuses,
    EndsWithinHead,
    EndsWithinBody,
    AnswersTwice,
    Pauses,
    LongField,
    /// Takes longer than a late request of a stop has left.
    Slow,
  };

  Fault DrawFault(const std::string& aId);
  bool ServeRecord(review::Replica& aReplica,
                   review::Channel& aChannel,
                   const review::Message& aRequest);
  bool ServeStream(review::Replica& aReplica,
                   review::Channel& aChannel,
                   const review::Message& aRequest);
  bool Refuse(review::Channel& aChannel, const std::string& aId);

  Ledger& mLedger;
  std::uint64_t mSeed;
  std::mutex mMutex;
  std::map<std::string, int> mDraws;
  std::array<review::Replica, 3> mRecords;
  std::array<review::Replica, 3> mModels;
};

/// The number at the end of the request's path.
int NumberOf(const std::string& aTarget);

/// The data of an event of the request.
std::string EventData(const std::string& aId, int aNumber);

/// The body of a response to the request.
std::string RecordBody(const std::string& aId, int aBytes);

} // namespace Acaciavale::Soak
