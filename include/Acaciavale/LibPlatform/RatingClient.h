#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

/// Client of the service that rates answers. The service is notified of answers
/// and returns ratings for a sample of them after a delay.
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
  /// Highest rating number so far, to be passed to the next FetchRatings.
  std::uint64_t mLastNumber = 0;

  auto operator<=>(const RatingBatch&) const = default;
};

/// Client of the rating service. Thread-safe; each call blocks up to the
/// timeout.
class RatingClient
{
public:
  /// The address consists of an IP address and port.
  RatingClient(std::string aAddress, Duration aTimeout);

  /// Notifies the service of answers. After an error, the service may have
  /// accepted some of them.
  ErrorOr<void> SendAnswers(const std::vector<RateableAnswer>& aAnswers) const;
  ErrorOr<RatingBatch> FetchRatings(std::uint64_t aAfter) const;

private:
  std::string mAddress;
  Duration mTimeout;
};

} // namespace Acaciavale
