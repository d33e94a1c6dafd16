#pragma once

#include <optional>
#include <string>
#include <vector>

/// The one table of settings. Reading, checks, `settings explain` and the
/// reference page docs/SETTINGS.md all work from it.
namespace Acaciavale {

/// The kinds of section, as they are written: "[version dossier/small-1]".
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

/// What a value looks like, with its unit.
enum class SettingType
{
  Text,
  Name,
  NameList, ///< Comma-separated.
  YesNo,
  Integer,
  Share,    ///< 0 to 1.
  Number,   ///< A plain ratio.
  Rate,     ///< "100/s".
  Duration, ///< "250ms", "13s", "2m", "72h".
  Bytes,    ///< "64KiB".
  Price,    ///< "150000micros/Mtok".
  Amount,   ///< "2000micros".
  VersionState,
  Priority,
  Secret,    ///< Hexadecimal; never shown.
  StageList, ///< "model/version", comma-separated.
  ShareList, ///< Rising shares, comma-separated.
};

/// How a child's value is held within its parent's.
enum class Narrowing
{
  Unrestricted, ///< The child may state any value.
  Subset,       ///< The child's names are among its parent's.
  AtMost,       ///< The child's number is no larger.
  SameOrLater,  ///< The child's word stands no earlier in the list of words.
};

/// When a changed value is in force.
enum class TakesEffect
{
  AtOnce,         ///< With the next decision on a VM that has the generation.
  NewConnections, ///< For connections opened from then on.
};

/// One setting: a row of the table.
struct SettingRow
{
  SectionKind mKind = SectionKind::Deployment;
  std::string mName;
  SettingType mType = SettingType::Text;
  std::string mDefault; ///< As it would be written.
  bool mRequired = false;
  double mMinimum = 0; ///< In the base unit of the type.
  double mMaximum = 0; ///< No bounds where both are 0.
  Narrowing mNarrowing = Narrowing::Unrestricted;
  std::string mDescription; ///< One sentence for the reference page.
  bool mInherited = true;   ///< Whether children take the value over.
  TakesEffect mTakesEffect = TakesEffect::AtOnce;

  auto operator<=>(const SettingRow&) const = default;
};

const std::vector<SettingRow>& SettingsTable();

/// The word that opens a section of this kind.
std::string NameOf(SectionKind aKind);
std::optional<SectionKind> ParseSectionKind(const std::string& aName);
const std::vector<SectionKind>& AllSectionKinds();

/// The rows that a section of this kind may state: its own, and those that its
/// children inherit from it.
std::vector<SettingRow> AllowedRows(SectionKind aSection);

/// The row of this name that the section may state, or nothing.
std::optional<SettingRow> FindRow(SectionKind aSection,
                                  const std::string& aName);

/// The reference page, in Markdown.
std::string RenderReference();

} // namespace Acaciavale
