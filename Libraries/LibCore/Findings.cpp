#include <Acaciavale/LibCore/Findings.h>

#include <algorithm>

namespace Acaciavale {

std::string Describe(const Finding& aFinding)
{
  return aFinding.mPlace.mFile + ":" + std::to_string(aFinding.mPlace.mLine) +
         ": " + aFinding.mMessage;
}

Findings Sorted(Findings aFindings)
{
  std::sort(aFindings.begin(), aFindings.end());
  aFindings.erase(std::unique(aFindings.begin(), aFindings.end()),
                  aFindings.end());
  return aFindings;
}

} // namespace Acaciavale
