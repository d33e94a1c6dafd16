#include <Acaciavale/LibSettings/SettingsEdit.h>

#include "EffectiveSettings.h"
#include "Text.h"
#include "Values.h"

#include <algorithm>

namespace Acaciavale {

namespace {

/// The byte offsets of a line, without its line ending.
struct LineSpan
{
  std::size_t mStart = 0;
  std::size_t mEnd = 0;
};

LineSpan FindLineSpan(const std::string& aText, std::size_t aLine)
{
  std::size_t start = 0;
  for (std::size_t line = 1; line < aLine; ++line) {
    start = aText.find('\n', start) + 1;
  }
  std::size_t end = std::min(aText.find('\n', start), aText.size());
  if (end > start && aText[end - 1] == '\r') {
    --end;
  }
  return { start, end };
}

std::string LineEnding(const std::string& aText)
{
  return aText.find("\r\n") != std::string::npos ? "\r\n" : "\n";
}

SettingsFile* FindFile(std::vector<SettingsFile>& aFiles,
                       const std::string& aName)
{
  for (SettingsFile& file : aFiles) {
    if (file.mName == aName) {
      return &file;
    }
  }
  return nullptr;
}

/// Replaces the value in a line "key = old ; comment" and keeps the comment.
void ReplaceLine(std::string& aText,
                 std::size_t aLine,
                 const std::string& aKey,
                 const std::string& aValue)
{
  const LineSpan span = FindLineSpan(aText, aLine);
  const std::string old = aText.substr(span.mStart, span.mEnd - span.mStart);
  const std::size_t comment = old.find(" ;");
  const std::string rest =
    comment == std::string::npos ? "" : old.substr(comment);
  aText.replace(span.mStart, old.size(), aKey + " = " + aValue + rest);
}

void InsertAfter(std::string& aText,
                 std::size_t aLine,
                 const std::string& aNewLine)
{
  const std::string end = LineEnding(aText);
  aText.insert(FindLineSpan(aText, aLine).mEnd, end + aNewLine);
}

void AppendSection(std::string& aText,
                   const SectionName& aSection,
                   const std::string& aNewLine)
{
  const std::string end = LineEnding(aText);
  if (!aText.empty() && aText.back() != '\n') {
    aText += end;
  }
  aText += end + "[" + Describe(aSection) + "]" + end + aNewLine + end;
}

std::string StageText(const CascadeStage& aStage)
{
  return aStage.mVersion.empty() ? aStage.mModel
                                 : aStage.mModel + "/" + aStage.mVersion;
}

/// Returns the section that states the value in force, or aName if the default
/// applies.
SectionName OriginSection(const SettingsTree& aTree,
                          const SectionName& aName,
                          const std::string& aKey)
{
  const auto value = ResolveValue(aTree, aName, *FindRow(aName.mKind, aKey));
  return value.mOrigins.empty() ? aName : value.mOrigins.front().mSection;
}

ErrorOr<std::vector<SettingsFile>> WithoutStage(
  std::vector<SettingsFile> aFiles,
  const Settings& aSettings,
  const CascadeStage& aStage)
{
  for (const auto& [name, cascade] : aSettings.mCascades) {
    std::vector<std::string> remaining;
    for (const CascadeStage& stage : cascade.mStages) {
      if (stage != aStage) {
        remaining.push_back(StageText(stage));
      }
    }
    if (remaining.empty() || remaining.size() == cascade.mStages.size()) {
      continue;
    }
    const SectionName section = OriginSection(ParseSettingsTree(aFiles).mTree,
                                              { SectionKind::Cascade, name },
                                              "stages");
    aFiles = ACACIAVALE_TRY(
      WithValue(std::move(aFiles), section, "stages", Joined(remaining, ", ")));
  }
  return aFiles;
}

ErrorOr<std::vector<SettingsFile>> WithRolloutsPaused(
  std::vector<SettingsFile> aFiles,
  const Settings& aSettings,
  const VersionStateChange& aRequest)
{
  for (const auto& [name, rollout] : aSettings.mRollouts) {
    if (rollout.mModel == aRequest.mModel && rollout.mTo == aRequest.mVersion &&
        !rollout.mPaused) {
      aFiles = ACACIAVALE_TRY(WithValue(
        std::move(aFiles), { SectionKind::Rollout, name }, "paused", "yes"));
    }
  }
  return aFiles;
}

} // namespace

ErrorOr<std::vector<SettingsFile>> WithValue(std::vector<SettingsFile> aFiles,
                                             const SectionName& aSection,
                                             const std::string& aKey,
                                             const std::string& aValue)
{
  const auto row = FindRow(aSection.mKind, aKey);
  if (!row || aFiles.empty()) {
    return MakeError(ErrorCode::Invalid,
                     "[" + Describe(aSection) + "] has no key " + aKey + ".");
  }
  if (const auto valueError = FindValueError(*row, aValue)) {
    return MakeError(ErrorCode::Invalid, *valueError);
  }
  const std::string line = aKey + " = " + aValue;
  const SettingsTree tree = ParseSettingsTree(aFiles).mTree;
  const auto section = tree.mSections.find(aSection);
  if (section == tree.mSections.end()) {
    AppendSection(aFiles.front().mText, aSection, line);
    return aFiles;
  }
  const auto statedValue = section->second.mValues.find(aKey);
  const bool isStated = statedValue != section->second.mValues.end();
  const Place place =
    isStated ? statedValue->second.mPlace : section->second.mPlace;
  std::string& text = FindFile(aFiles, place.mFile)->mText;
  if (isStated) {
    ReplaceLine(text, place.mLine, aKey, aValue);
  } else {
    InsertAfter(text, place.mLine, line);
  }
  return aFiles;
}

ErrorOr<std::vector<SettingsFile>> WithVersionState(
  const std::vector<SettingsFile>& aFiles,
  const VersionStateChange& aRequest)
{
  const std::string path = aRequest.mModel + "/" + aRequest.mVersion;
  const Settings settings = BuildSettings(ParseSettingsTree(aFiles).mTree);
  if (FindVersion(settings, aRequest.mModel, aRequest.mVersion) == nullptr) {
    return MakeError(ErrorCode::NotFound, "There is no version " + path + ".");
  }
  const std::string state = EnumWords(
    SettingType::VersionState)[static_cast<std::size_t>(aRequest.mState)];
  auto files = ACACIAVALE_TRY(
    WithValue(aFiles, { SectionKind::Version, path }, "state", state));
  if (aRequest.mState != VersionState::Serving) {
    files = ACACIAVALE_TRY(WithRolloutsPaused(files, settings, aRequest));
  }
  if (aRequest.mState == VersionState::Withdrawn) {
    files = ACACIAVALE_TRY(
      WithoutStage(files, settings, { aRequest.mModel, aRequest.mVersion }));
  }
  if (aRequest.mAllowsEmptyModel) {
    const SectionName model{ SectionKind::Model, aRequest.mModel };
    files = ACACIAVALE_TRY(WithValue(files, model, "may-be-empty", "yes"));
  }
  return files;
}

} // namespace Acaciavale
