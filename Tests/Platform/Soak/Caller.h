#pragma once

#include "Ledger.h"
#include "Vms.h"

#include <standins.hh>

#include <cstdint>
#include <random>

namespace Acaciavale::Soak {

/// A caller that keeps its connection until the VM closes it, and then takes a
/// VM that serves.
class Caller
{
public:
  Caller(Ledger& aLedger,
         const Vms& aVms,
         std::string aName,
         std::uint64_t aSeed);

  /// Sends requests one after the other until the time.
  void Run(double aUntil);

private:
  /// How a caller sends and reads.
  enum class Manner
  {
    Plain,
    /// Pauses while it sends the body.
    SlowBody,
    /// Pauses while it reads the response.
    PausedReading,
    /// Sends the next request before it reads the response.
    Pipelined,
    /// Has a field that is longer than the settings allow.
    LongField,
    /// Has trailers that are longer than the settings allow.
    LongTrailers,
    /// Is sent before the response to the previous request was read.
    Behind,
  };

  struct Draft
  {
    std::string mId;
    Kind mKind = Kind::Idempotent;
    int mNumber = 0;
    std::string mText;
  };

  static std::string NameOf(Manner aManner);
  Draft Draw(Manner aManner);
  bool Connect();
  bool SendSlowly(const std::string& aText);
  bool Send(const Draft& aDraft, Manner aManner);
  /// Reads the response and records it. Returns whether the connection goes on.
  bool Read(const Draft& aDraft, Manner aManner);
  Request ReadResponse(const Draft& aDraft, Manner aManner, bool& aGoesOn);
  /// Records a request behind one after which the connection has ended.
  void EndBehind(const Draft& aDraft);

  Ledger& mLedger;
  const Vms& mVms;
  std::string mName;
  std::mt19937_64 mRandom;
  int mCount = 0;
  review::Channel mChannel;
  /// Whether the latest response states that no later request is processed.
  bool mIsCloseAnnounced = false;
  Vms::View mView;
};

} // namespace Acaciavale::Soak
