#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

/// What happened to each request, seen by its caller and by the endpoints.
namespace Acaciavale::Soak {

enum class Kind
{
  Idempotent,
  NonIdempotent,
  Stream,
};

/// What a caller saw of its request.
enum class Outcome
{
  Open,
  Served,
  /// A response that promises that no endpoint has run the request; also one
  /// to an earlier request that ends the connection.
  NotExecuted,
  /// Another response that is no success.
  Failed,
  /// The connection ended before the first byte of a response.
  Unanswered,
  /// The connection ended within a response.
  CutOff,
  /// Nothing arrived in time.
  TimedOut,
};

struct Request
{
  Kind mKind = Kind::Idempotent;
  /// How its caller sends and reads.
  std::string mManner;
  Outcome mOutcome = Outcome::Open;
  unsigned mStatus = 0;
  /// Time at which the whole request had been sent, in seconds.
  double mSentAt = 0;
  /// Time at which its VM had been asked to stop; 0: was not.
  double mStopAt = 0;
  /// Why no more of the response was read; empty: all was.
  std::string mError;
  /// Wrong bytes in the response; empty: none.
  std::string mMixUp;
  /// How many endpoints have begun to run it.
  int mRuns = 0;
  /// How many of these runs the endpoints ended or garbled themselves.
  int mFaultyRuns = 0;
  /// How many attempts endpoints refused, ended, garbled or paused.
  int mTroubledAttempts = 0;
};

/// Counts of the outcomes of a soak.
struct Totals
{
  int mRequests = 0;
  int mServed = 0;
  int mNotExecuted = 0;
  int mFailed = 0;
  int mUnanswered = 0;
  int mCutOff = 0;
};

/// Collects requests and violations from several threads.
class Ledger
{
public:
  void Begin(const std::string& aId, Kind aKind, const std::string& aManner);
  void Sent(const std::string& aId, double aAt);
  void End(const std::string& aId, const Request& aSeen);
  void Run(const std::string& aId);
  /// Counts a troubled attempt; aIsFaultyRun: also a faulty run.
  void Trouble(const std::string& aId, bool aIsFaultyRun);
  void Violation(const std::string& aText);

  /// The violations so far and those of the recorded requests.
  std::vector<std::string> Violations() const;
  Totals Sum() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, Request> mRequests;
  std::vector<std::string> mViolations;
};

/// Returns which rule the request's outcome breaks; empty: none.
std::string BrokenRule(const Request& aRequest);

} // namespace Acaciavale::Soak
