#include "TreeBuilder.h"
#include "Text.h"
#include "Values.h"

#include <Acaciavale/LibSettings/SettingsFiles.h>

#include <algorithm>
#include <set>

namespace Acaciavale {

namespace {

std::vector<std::string> KindNames()
{
  std::vector<std::string> names;
  for (const SectionKind kind : AllSectionKinds()) {
    names.push_back(NameOf(kind));
  }
  return names;
}

std::vector<std::string> KeyNames(SectionKind aKind)
{
  std::vector<std::string> names;
  for (const SettingRow& row : AllowedRows(aKind)) {
    names.push_back(row.mName);
  }
  return names;
}

std::string FormatPlace(const Place& aPlace)
{
  return aPlace.mFile + ":" + std::to_string(aPlace.mLine);
}

/// Returns the number of segments in a path of this kind; 0 means any number.
std::size_t SegmentCount(SectionKind aKind)
{
  switch (aKind) {
    case SectionKind::Version:
    case SectionKind::Route:
      return 2;
    case SectionKind::Account:
      return 0;
    default:
      return 1;
  }
}

/// Returns the first of the comma-separated names that is not allowed, or an
/// empty text.
std::string FirstNameNotIn(const std::string& aNames,
                           const std::string& aAllowedNames)
{
  const auto allowed = SplitList(aAllowedNames);
  for (const std::string& name : SplitList(aNames)) {
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
      return name;
    }
  }
  return "";
}

/// Returns what the child's value allows beyond its parent's, or an empty text.
std::string ExcessValue(const SettingRow& aRow,
                        const std::string& aChild,
                        const std::string& aParent)
{
  switch (aRow.mNarrowing) {
    case Narrowing::Unrestricted:
      return "";
    case Narrowing::Subset:
      // NOTE: An empty list of versions allows all, so emptying it widens.
      if (aRow.mName == "versions" && SplitList(aChild).empty() &&
          !SplitList(aParent).empty()) {
        return "every version";
      }
      if (aRow.mName == "versions" && SplitList(aParent).empty()) {
        return "";
      }
      return FirstNameNotIn(aChild, aParent);
    case Narrowing::AtMost:
      return NumericValue(aRow.mType, aChild) >
                 NumericValue(aRow.mType, aParent)
               ? aChild
               : "";
    case Narrowing::SameOrLater:
      return WordIndex(aRow.mType, aChild) < WordIndex(aRow.mType, aParent)
               ? aChild
               : "";
  }
  return "";
}

} // namespace

void TreeBuilder::Report(const Place& aPlace, std::string aMessage)
{
  mFindings.push_back({ aPlace, std::move(aMessage) });
}

void TreeBuilder::AddFile(const std::string& aName, const IniScan& aScan)
{
  if (mIncludes.contains(aName)) {
    Report({ aName, 0 }, "the file is given twice");
    return;
  }
  mIncludes[aName];
  mFindings.insert(
    mFindings.end(), aScan.mFindings.begin(), aScan.mFindings.end());
  for (const IniSection& section : aScan.mSections) {
    if (!section.mHeader.empty() || section.mPlace.mLine > 0) {
      AddSection(section);
      continue;
    }
    for (const IniEntry& entry : section.mEntries) {
      AddInclude(aName, entry);
    }
  }
}

void TreeBuilder::AddInclude(const std::string& aFile, const IniEntry& aEntry)
{
  if (aEntry.mKey != "include") {
    Report(aEntry.mPlace,
           "\"" + aEntry.mKey +
             "\" is stated before any section; only include is allowed there");
    return;
  }
  if (aEntry.mValue.empty() || aEntry.mValue[0] == '/') {
    Report(aEntry.mPlace,
           "\"" + aEntry.mValue +
             "\" cannot be included; expected a path relative to this file");
    return;
  }
  mIncludes[aFile].push_back(
    { IncludedFileName(aFile, aEntry.mValue), aEntry.mPlace });
}

bool TreeBuilder::IsPathAllowed(const SectionName& aName, const Place& aPlace)
{
  const auto segments = SplitList(aName.mPath, '/');
  const std::size_t expectedCount = SegmentCount(aName.mKind);
  if (!std::all_of(segments.begin(), segments.end(), IsName)) {
    Report(aPlace,
           "\"" + aName.mPath +
             "\" is not a path; expected names of letters, digits, '-', '_' "
             "and '.', separated by '/'");
    return false;
  }
  if (segments.empty()) {
    const bool allowed =
      aName.mKind != SectionKind::Version && aName.mKind != SectionKind::Route;
    if (!allowed) {
      Report(aPlace,
             "[" + NameOf(aName.mKind) + "] needs a path; defaults go into [" +
               (aName.mKind == SectionKind::Version ? "model" : "service") +
               "]");
    }
    return allowed;
  }
  if (aName.mKind == SectionKind::Deployment) {
    Report(aPlace, "[deployment] takes no name; state it as name = …");
    return false;
  }
  if (expectedCount != 0 && segments.size() != expectedCount) {
    Report(aPlace,
           "[" + Describe(aName) + "] has " + std::to_string(segments.size()) +
             " names in its path; a " + NameOf(aName.mKind) + " has " +
             std::to_string(expectedCount));
    return false;
  }
  return true;
}

void TreeBuilder::AddSection(const IniSection& aSection)
{
  const auto name = ParseSectionName(aSection.mHeader);
  if (!name) {
    const std::string word =
      aSection.mHeader.substr(0, aSection.mHeader.find(' '));
    Report(aSection.mPlace,
           "unknown kind of section \"" + word + "\"; expected one of " +
             Joined(KindNames(), ", ") + Suggestion(word, KindNames()));
    return;
  }
  if (!IsPathAllowed(*name, aSection.mPlace)) {
    return;
  }
  const auto [existing, isNew] =
    mTree.mSections.insert({ *name, { *name, aSection.mPlace, {} } });
  if (!isNew) {
    Report(aSection.mPlace,
           "[" + Describe(*name) + "] is already defined at " +
             FormatPlace(existing->second.mPlace));
  }
  for (const IniEntry& entry : aSection.mEntries) {
    AddEntry(existing->second, entry);
  }
}

void TreeBuilder::AddEntry(TreeSection& aSection, const IniEntry& aEntry)
{
  const auto row = FindRow(aSection.mName.mKind, aEntry.mKey);
  if (!row) {
    const auto known = KeyNames(aSection.mName.mKind);
    Report(aEntry.mPlace,
           "unknown key \"" + aEntry.mKey + "\" in [" +
             Describe(aSection.mName) + "]; expected one of " +
             Joined(known, ", ") + Suggestion(aEntry.mKey, known));
    return;
  }
  const auto [existing, isNew] =
    aSection.mValues.insert({ aEntry.mKey, { aEntry.mValue, aEntry.mPlace } });
  if (!isNew) {
    Report(aEntry.mPlace,
           aEntry.mKey + " is already stated at " +
             FormatPlace(existing->second.mPlace));
    return;
  }
  if (const auto valueError = FindValueError(*row, aEntry.mValue)) {
    Report(aEntry.mPlace, *valueError);
  }
}

void TreeBuilder::CheckIncludes()
{
  for (const auto& [file, includes] : mIncludes) {
    for (const Include& include : includes) {
      if (!mIncludes.contains(include.mTarget)) {
        Report(include.mPlace,
               "the included file " + include.mTarget + " is missing");
        continue;
      }
      std::set<std::string> reached;
      std::vector<std::string> pending{ include.mTarget };
      while (!pending.empty()) {
        const std::string next = pending.back();
        pending.pop_back();
        if (!reached.insert(next).second) {
          continue;
        }
        const auto existing = mIncludes.find(next);
        if (existing != mIncludes.end()) {
          for (const Include& nested : existing->second) {
            pending.push_back(nested.mTarget);
          }
        }
      }
      if (reached.contains(file)) {
        Report(include.mPlace,
               "including " + include.mTarget + " leads back to " + file);
      }
    }
  }
}

void TreeBuilder::CheckCycle(const SectionName& aName, const Place& aPlace)
{
  const auto ancestors = AncestorsOf(mTree, aName);
  const SectionName last = ancestors.empty() ? aName : ancestors.back();
  if (ParentOf(mTree, last) == aName) {
    Report(aPlace, "[" + Describe(aName) + "] inherits from itself");
  }
}

void TreeBuilder::CheckParents()
{
  for (const auto& [name, section] : mTree.mSections) {
    const auto parent = ParentOf(mTree, name);
    if (parent && !parent->mPath.empty() &&
        !mTree.mSections.contains(*parent)) {
      std::vector<std::string> known;
      for (const auto& [other, unused] : mTree.mSections) {
        if (other.mKind == parent->mKind && other != name) {
          known.push_back(other.mPath);
        }
      }
      Report(section.mPlace,
             "[" + Describe(name) + "] inherits from [" + Describe(*parent) +
               "], which does not exist" + Suggestion(parent->mPath, known));
    }
    CheckCycle(name, section.mPlace);
  }
}

void TreeBuilder::CheckNarrowing(const SectionName& aName,
                                 const SettingRow& aRow)
{
  const EffectiveValue value = ResolveValue(mTree, aName, aRow);
  if (value.mOrigins.size() < 2 || value.mOrigins[0].mSection != aName) {
    return;
  }
  const Origin& child = value.mOrigins[0];
  const Origin& parent = value.mOrigins[1];
  if (FindValueError(aRow, child.mValue.mText) ||
      FindValueError(aRow, parent.mValue.mText)) {
    return;
  }
  const std::string excess =
    ExcessValue(aRow, child.mValue.mText, parent.mValue.mText);
  if (excess.empty()) {
    return;
  }
  const auto& stated = mTree.mSections.at(parent.mSection).mValues;
  const auto widenable = stated.find("children-may-widen");
  if (widenable != stated.end() &&
      FirstNameNotIn(aRow.mName, widenable->second.mText).empty()) {
    return;
  }
  Report(child.mValue.mPlace,
         aRow.mName + " allows " + excess + ", which [" +
           Describe(parent.mSection) + "] does not (" +
           FormatPlace(parent.mValue.mPlace) + ": " + parent.mValue.mText +
           "); a child may only narrow it");
}

void TreeBuilder::CheckNarrowing()
{
  for (const auto& [name, section] : mTree.mSections) {
    for (const SettingRow& row : AllowedRows(name.mKind)) {
      if (row.mNarrowing != Narrowing::Unrestricted &&
          section.mValues.contains(row.mName)) {
        CheckNarrowing(name, row);
      }
    }
  }
}

SettingsTreeResult TreeBuilder::Build()
{
  CheckIncludes();
  CheckParents();
  CheckNarrowing();
  return { std::move(mTree), Sorted(std::move(mFindings)) };
}

} // namespace Acaciavale
