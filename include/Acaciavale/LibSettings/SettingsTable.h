#pragma once

#include <optional>
#include <string>
#include <vector>

/// The table of all settings. Parsing, checks, `settings explain` and the
/// reference page docs/SETTINGS.md are all derived from it.
namespace Acaciavale {

/// The kinds of section. A section header states its kind and its path, as in
/// "[version dossier/small-1]".
enum class SectionKind
{
  Deployment,
  Model,
  Version,
  Cascade,
  Account,
  Service,
  Route,
  Rollout,
  Objective,
};

/// The syntax of a value, including its unit.
enum class SettingType
{
  Text,
  Name,
  NameList, ///< Comma-separated.
  YesNo,
  Integer,
  Share,    ///< A number from 0 to 1.
  Number,   ///< A number without a unit.
  Rate,     ///< "100/s".
  Duration, ///< "250ms", "13s", "2m", "72h".
  Bytes,    ///< "64KiB".
  Price,    ///< "150000micros/Mtok".
  Amount,   ///< "2000micros".
  VersionState,
  Priority,
  Secret,    ///< Hexadecimal; never shown.
  StageList, ///< "model/version", comma-separated.
  ShareList, ///< Increasing shares, comma-separated.
};

/// How a parent's value restricts the value of its child.
enum class Narrowing
{
  Unrestricted, ///< The child may state any value.
  Subset,       ///< The child's names are among its parent's.
  AtMost,       ///< The child's number is at most its parent's.
  SameOrLater,  ///< The child's word is its parent's or a later one in the
                ///< type's list.
};

/// When a changed value takes effect.
enum class TakesEffect
{
  AtOnce, ///< With the next decision on a VM that has the generation in force.
  NewConnections, ///< For connections opened afterwards.
};

/// One setting: a row of the table.
struct SettingRow
{
  SectionKind mKind = SectionKind::Deployment;
  std::string mName;
  SettingType mType = SettingType::Text;
  std::string mDefault; ///< Written as in a settings file.
  bool mRequired = false;
  double mMinimum = 0; ///< Lower bound in the type's base unit.
  double mMaximum = 0; ///< Upper bound; no bounds if both are 0.
  Narrowing mNarrowing = Narrowing::Unrestricted;
  std::string mDescription; ///< Sentence for the reference page.
  bool mInherited = true;   ///< Whether children inherit the value.
  TakesEffect mTakesEffect = TakesEffect::AtOnce;

  auto operator<=>(const SettingRow&) const = default;
};

const std::vector<SettingRow>& SettingsTable();

/// Returns the word that starts a section header of this kind.
std::string NameOf(SectionKind aKind);
/// Returns the kind that the word names, or nothing.
std::optional<SectionKind> ParseSectionKind(const std::string& aName);
const std::vector<SectionKind>& AllSectionKinds();

/// Returns the settings that a section of this kind may state: its own, and
/// those that its child sections inherit from it.
std::vector<SettingRow> AllowedRows(SectionKind aSection);

/// Returns the setting of this name that the section may state, or nothing.
std::optional<SettingRow> FindRow(SectionKind aSection,
                                  const std::string& aName);

/// Renders the reference page in Markdown.
std::string RenderReference();

} // namespace Acaciavale
