#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/SettingsParser.h>

#include <string>
#include <vector>

/// One INI file as a list of sections and values with their lines.
namespace Acaciavale {

struct IniEntry
{
  std::string mKey;
  std::string mValue;
  Place mPlace;
};

/// A section as written. The first section holds the lines before any header
/// and has an empty header.
struct IniSection
{
  std::string mHeader;
  Place mPlace;
  std::vector<IniEntry> mEntries;
};

struct IniScan
{
  std::vector<IniSection> mSections;
  Findings mFindings;
};

/// Scans one file and reports every line that is not valid INI.
IniScan ScanIni(const SettingsFile& aFile);

} // namespace Acaciavale
