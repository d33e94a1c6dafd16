#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

/// The service that rates answers: it is told of answers, and gives ratings of
/// a sample of them, late.
namespace Acaciavale {

/// An answer that may be rated.
struct RateableAnswer
{
  std::string mRequestId;
  std::string mModel;
  std::string mVersion;
  std::string mRequestKind;

  auto operator<=>(const RateableAnswer&) const = default;
};

struct Rating
{
  std::uint64_t mNumber = 0;
  RateableAnswer mAnswer;
  bool mGood = false;

  auto operator<=>(const Rating&) const = default;
};

struct RatingBatch
{
  std::vector<Rating> mRatings;
  std::uint64_t mLastNumber = 0; ///< Ask for those after this one next time.

  auto operator<=>(const RatingBatch&) const = default;
};

/// Thread-safe; each call blocks up to the deadline.
class RatingClient
{
public:
  /// The address is an IP number and port.
  RatingClient(std::string aAddress, Duration aTimeout);

  /// An error may mean that some of the answers were taken.
  ErrorOr<void> SendAnswers(const std::vector<RateableAnswer>& aAnswers) const;
  ErrorOr<RatingBatch> FetchRatings(std::uint64_t aAfter) const;

private:
  std::string mAddress;
  Duration mTimeout;
};

} // namespace Acaciavale
