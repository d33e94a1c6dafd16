#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

/// Findings: problems collected with their place and reported together.
namespace Acaciavale {

/// Where in the operators' files something stands; line 0 is the whole file.
struct Place
{
  std::string mFile;
  std::size_t mLine = 0;

  auto operator<=>(const Place&) const = default;
};

/// One problem: where it is, what is wrong and what is allowed.
struct Finding
{
  Place mPlace;
  std::string mMessage;

  auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

/// Renders one finding as "file:line: message".
std::string Describe(const Finding& aFinding);

/// Returns the findings ordered by place, without repetitions.
Findings Sorted(Findings aFindings);

} // namespace Acaciavale
