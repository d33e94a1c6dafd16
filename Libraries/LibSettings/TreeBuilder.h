#pragma once

#include "IniScan.h"

#include <Acaciavale/LibSettings/SettingsTree.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Acaciavale {

/// Builds the tree from scanned files and collects the findings about it.
class TreeBuilder
{
public:
  void AddFile(const std::string& aName, const IniScan& aScan);
  SettingsTreeResult Build();

private:
  struct Include
  {
    std::string mTarget;
    Place mPlace;
  };

  void Report(const Place& aPlace, std::string aMessage);
  void AddInclude(const std::string& aFile, const IniEntry& aEntry);
  void AddSection(const IniSection& aSection);
  void AddEntry(TreeSection& aSection, const IniEntry& aEntry);
  bool IsPathAllowed(const SectionName& aName, const Place& aPlace);
  void CheckIncludes();
  void CheckParents();
  void CheckCycle(const SectionName& aName, const Place& aPlace);
  void CheckNarrowing();
  void CheckNarrowing(const SectionName& aName, const SettingRow& aRow);

  SettingsTree mTree;
  Findings mFindings;
  /// The include lines by the name of the file that contains them.
  std::map<std::string, std::vector<Include>> mIncludes;
};

} // namespace Acaciavale
