#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

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

/// The cell with every count scaled by the factor, 0 to 1.
EvidenceCell Scaled(const EvidenceCell& aCell, double aFactor);

using EvidenceView = std::map<EvidenceKey, EvidenceCell>;

/// The lower bound, at 95 % confidence, of a share of successes.
double LowerBound(double aSuccesses, double aTrials);

/// The upper bound, at 95 % confidence, of a share of successes.
double UpperBound(double aSuccesses, double aTrials);

/// The key under which a cascade's final answers are counted. A cascade accepts
/// the answers that its first stage is sure of, so its quality is not that of
/// either stage alone. The model is the cascade's name and the version lists
/// the stages that the decision named, as "a/1>b/2".
EvidenceKey CascadeEvidenceKey(const std::string& aCascade,
                               const std::vector<CascadeStage>& aStages,
                               const std::string& aKind);

} // namespace Acaciavale
