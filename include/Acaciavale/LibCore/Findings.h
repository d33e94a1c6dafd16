#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

/// Findings: problems in configuration files that are collected with their
/// locations and reported together.
namespace Acaciavale {

/// Location in a file of the operator. Line 0 stands for the whole file.
struct Place
{
  std::string mFile;
  std::size_t mLine = 0;

  auto operator<=>(const Place&) const = default;
};

/// A problem, with its location and a message that says what is wrong and what
/// is allowed.
struct Finding
{
  Place mPlace;
  std::string mMessage;

  auto operator<=>(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

/// Formats a finding as "file:line: message".
std::string Describe(const Finding& aFinding);

/// Returns the findings sorted by location, without duplicates.
Findings Sorted(Findings aFindings);

} // namespace Acaciavale
