#include <Acaciavale/LibSettings/SettingsTable.h>

#include "Text.h"
#include "Values.h"

namespace Acaciavale {

namespace {

constexpr const char* kIntroduction =
  "# Settings\n"
  "\n"
  "This page is the rendering of the table of settings in\n"
  "`Libraries/LibSettings/SettingsTable.cpp`, which reading, checks and\n"
  "`acaciavale settings explain` work from. A test compares the two. To write\n"
  "it anew: `acaciavale settings reference > docs/SETTINGS.md`.\n"
  "\n"
  "## How the files are written\n"
  "\n"
  "- A file is INI in UTF-8: `[section]`, `key = value`, comments after `;` "
  "or\n"
  "  `#` at the start of a line, or after a blank and `;`. At most 1,000,000\n"
  "  bytes a file and 4,000 a line. Line ends may be LF or CRLF.\n"
  "- `include = path` before the first section takes in another file, by a "
  "path\n"
  "  relative to the file that says so. Each file is read once; loops are\n"
  "  findings.\n"
  "- A section is a kind and a path: `[account carriers/croatian-wings]`. It\n"
  "  inherits from the section above in its path, `[account carriers]`, and\n"
  "  that one from `[account]`, the defaults of the kind. A version inherits\n"
  "  from its model, a route from its service. An account may name another\n"
  "  parent by `inherits`.\n"
  "- A section states only what differs. An account that others inherit from\n"
  "  is a group and takes no calls itself; an account's name is the last one\n"
  "  of its path.\n"
  "- Settings marked as narrowed may be stated by a child only within what "
  "its\n"
  "  parent states, unless the parent lists them in `children-may-widen`.\n"
  "- Secrets are never shown by any command.\n"
  "\n"
  "`acaciavale settings check FILE…` lists every finding. "
  "`acaciavale settings\n"
  "explain FILE… account=NAME key=KEY` tells where a value was set and what "
  "it\n"
  "overrides.\n";

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
      return "`[objective NAME]`. Inherits from `[objective]`. The objective "
             "that names both account and model goes before one that names "
             "either, and that before one that names none.";
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
      return "narrowed: names among the parent's";
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
