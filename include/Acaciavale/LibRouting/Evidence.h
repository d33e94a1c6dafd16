#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Statistics on the answers of versions: ratings, errors and latency per kind
/// of request.
namespace Acaciavale {

/// Identifies the answers that an evidence cell counts.
struct EvidenceKey
{
  std::string mModel;   ///< Name of the model, or of a cascade.
  std::string mVersion; ///< Version, or the stages of a cascade.
  std::string mKind;    ///< Kind of request, such as "summary" or "check".

  auto operator<=>(const EvidenceKey&) const = default;
};

/// Counts and sums over answers. They decay over time so that recent answers
/// weigh more, and are therefore not integers.
struct EvidenceCell
{
  double mRated = 0;       ///< Number of rated answers.
  double mGood = 0;        ///< Number of answers rated as good.
  double mAnswers = 0;     ///< Number of answers, rated or not.
  double mErrors = 0;      ///< Number of answers that failed at the endpoint.
  double mEscalations = 0; ///< Number of answers passed to the next stage.
  double mFirstTokenSeconds = 0; ///< Sum over successful answers.
  double mOutputTokens = 0;      ///< Sum over successful answers.

  auto operator<=>(const EvidenceCell&) const = default;
};

EvidenceCell operator+(const EvidenceCell& aLeft, const EvidenceCell& aRight);

/// Returns the cell with every count and sum multiplied by aFactor, 0 to 1.
EvidenceCell Scaled(const EvidenceCell& aCell, double aFactor);

using EvidenceView = std::map<EvidenceKey, EvidenceCell>;

/// Lower bound of the success probability at one-sided 95 % confidence; 0 if
/// there were no trials.
double LowerBound(double aSuccesses, double aTrials);

/// Upper bound of the success probability at one-sided 95 % confidence; 1 if
/// there were no trials.
double UpperBound(double aSuccesses, double aTrials);

/// Returns the key for the final answers of a cascade. They need a key of their
/// own because a cascade accepts only the confident answers of its first stage,
/// so its quality differs from that of each stage. The model is the name of the
/// cascade, and the version lists the decided stages, as in "a/1>b/2".
EvidenceKey CascadeEvidenceKey(const std::string& aCascade,
                               const std::vector<CascadeStage>& aStages,
                               const std::string& aKind);

} // namespace Acaciavale
