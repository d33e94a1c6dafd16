#include <Acaciavale/LibSettings/SettingsTable.h>

#include "Text.h"
#include "Values.h"

namespace Acaciavale {

namespace {

constexpr const char* kIntroduction =
  "# Settings\n"
  "\n"
  "This page is generated from the table of settings in\n"
  "`Libraries/LibSettings/SettingsTable.cpp`, from which parsing, checks and\n"
  "`acaciavale settings explain` are derived as well. A test compares the "
  "page\n"
  "with the table. To regenerate the page:\n"
  "`acaciavale settings reference > docs/SETTINGS.md`.\n"
  "\n"
  "## File format\n"
  "\n"
  "- A file is INI in UTF-8: `[section]`, `key = value`, comments after `;` "
  "or\n"
  "  `#` at the start of a line, or after a blank and `;`. At most 1,000,000\n"
  "  bytes per file and 4,000 per line. Lines may end in LF or CRLF.\n"
  "- `include = path` before the first section includes another file, by a "
  "path\n"
  "  relative to the including file. Each file is read once; an include cycle "
  "is\n"
  "  a finding.\n"
  "- A section header states a kind and a path:\n"
  "  `[account carriers/croatian-wings]`. The section inherits from the "
  "section\n"
  "  above it in the path, `[account carriers]`, which inherits from "
  "`[account]`,\n"
  "  the defaults of the kind. A version inherits from its model, a route "
  "from\n"
  "  its service. An account may name another parent by `inherits`.\n"
  "- A section states only the values that differ from those it inherits. An\n"
  "  account that others inherit from is a group and serves no calls itself; "
  "the\n"
  "  name of an account is the last segment of its path.\n"
  "- A child may state a setting marked as narrowed only within the value of "
  "its\n"
  "  parent, unless the parent lists the setting in `children-may-widen`.\n"
  "- Commands that show settings hide the values of secrets.\n"
  "\n"
  "`acaciavale settings check FILE…` lists every finding.\n"
  "`acaciavale settings explain FILE… account=NAME key=KEY` shows where a "
  "value\n"
  "is set and which values it overrides.\n";

std::string InheritanceText(SectionKind aKind)
{
  switch (aKind) {
    case SectionKind::Deployment:
      return "One section, without a path.";
    case SectionKind::Model:
      return "`[model NAME]`. States defaults for its versions as well.";
    case SectionKind::Version:
      return "`[version MODEL/NAME]`. Inherits from `[model MODEL]`, then "
             "`[model]`.";
    case SectionKind::Cascade:
      return "`[cascade NAME]`. Inherits from `[cascade]`.";
    case SectionKind::Account:
      return "`[account PATH/NAME]`. Inherits along its path, then from "
             "`[account]`.";
    case SectionKind::Service:
      return "`[service NAME]`. States defaults for its routes as well.";
    case SectionKind::Route:
      return "`[route SERVICE/NAME]`. Inherits from `[service SERVICE]`, then "
             "`[service]`.";
    case SectionKind::Rollout:
      return "`[rollout NAME]`. Inherits from `[rollout]`.";
    case SectionKind::Objective:
      return "`[objective NAME]`. Inherits from `[objective]`. An objective "
             "that names both account and model takes precedence over one that "
             "names either, which takes precedence over one that names "
             "neither.";
  }
  return "";
}

std::string RangeText(const SettingRow& aRow)
{
  if (aRow.mMinimum == 0 && aRow.mMaximum == 0) {
    return "";
  }
  const std::string unit = aRow.mType == SettingType::Duration ? " s" : "";
  return FormatNumber(aRow.mMinimum) + " to " + FormatNumber(aRow.mMaximum) +
         unit;
}

std::string NarrowingText(const SettingRow& aRow)
{
  if (!aRow.mInherited) {
    return "not inherited";
  }
  switch (aRow.mNarrowing) {
    case Narrowing::Unrestricted:
      return "any";
    case Narrowing::Subset:
      return "narrowed: a subset of the parent's names";
    case Narrowing::AtMost:
      return "narrowed: at most the parent's";
    case Narrowing::SameOrLater:
      return "narrowed: the parent's word or a later one";
  }
  return "";
}

std::string DefaultText(const SettingRow& aRow)
{
  if (aRow.mRequired && aRow.mDefault.empty()) {
    return "must be stated";
  }
  const std::string text =
    aRow.mDefault.empty() ? "none" : "`" + aRow.mDefault + "`";
  return aRow.mRequired ? "must be stated" : text;
}

std::string RowText(const SettingRow& aRow)
{
  const std::string effect = aRow.mTakesEffect == TakesEffect::AtOnce
                               ? "at once"
                               : "for new connections";
  return "| `" + aRow.mName + "` | " + aRow.mDescription + " | " +
         AllowedValues(aRow.mType) + " | " + DefaultText(aRow) + " | " +
         RangeText(aRow) + " | " + NarrowingText(aRow) + " | " + effect +
         " |\n";
}

} // namespace

std::string RenderReference()
{
  std::string text = kIntroduction;
  for (const SectionKind kind : AllSectionKinds()) {
    text += "\n## " + NameOf(kind) + "\n\n" + InheritanceText(kind) + "\n\n";
    text += "| Name | Meaning | Type and unit | Default | Range | Children | "
            "In force |\n|---|---|---|---|---|---|---|\n";
    for (const SettingRow& row : SettingsTable()) {
      text += row.mKind == kind ? RowText(row) : "";
    }
  }
  return text;
}

} // namespace Acaciavale
