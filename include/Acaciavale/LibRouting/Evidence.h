#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <map>
#include <string>

/// What is known of how versions do: ratings, errors and latency by kind.
namespace Acaciavale {

/// What a piece of evidence is about.
struct EvidenceKey
{
  std::string mModel;
  std::string mVersion;
  std::string mKind;

  auto operator<=>(const EvidenceKey&) const = default;
};

/// Counts that age: old evidence weighs less. Not integers for that reason.
struct EvidenceCell
{
  double mRated = 0;             ///< Answers rated.
  double mGood = 0;              ///< Answers rated as good.
  double mAnswers = 0;           ///< Answers, rated or not.
  double mErrors = 0;            ///< Answers that failed at the endpoint.
  double mEscalations = 0;       ///< Answers whose cascade went on.
  double mFirstTokenSeconds = 0; ///< Sum over the answers that did not fail.
  double mOutputTokens = 0;      ///< Sum over the answers that did not fail.

  auto operator<=>(const EvidenceCell&) const = default;
};

EvidenceCell operator+(const EvidenceCell& aLeft, const EvidenceCell& aRight);

using EvidenceView = std::map<EvidenceKey, EvidenceCell>;

/// The lower bound, at 95 % confidence, of a share of successes.
double LowerBound(double aSuccesses, double aTrials);

} // namespace Acaciavale
