#include "IniScan.h"
#include "Text.h"

#include <Acaciavale/LibSettings/SettingsFiles.h>

#include <algorithm>
#include <ini.h>
#include <mutex>
#include <optional>
#include <string_view>

namespace Acaciavale {

namespace {

/// The longest line of a settings file, in bytes.
constexpr std::size_t kMaxLineBytes = 4000;
/// inih cuts longer names short without a word, so they are refused here.
constexpr std::size_t kMaxNameBytes = 49;

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

/// What the reader hands to inih and hears back from it.
struct Scanning
{
  const SettingsFile& mFile;
  IniScan& mScan;
  std::size_t mNext = 0; ///< Where the next line starts.
  std::size_t mLine = 0;
  bool mAccounted = true; ///< Whether the last line was understood.
};

void Report(Scanning& aScanning, std::string aMessage)
{
  aScanning.mScan.mFindings.push_back(
    { { aScanning.mFile.mName, aScanning.mLine }, std::move(aMessage) });
}

void CloseLine(Scanning& aScanning)
{
  if (!aScanning.mAccounted) {
    Report(aScanning,
           "this line is neither a [section], a key = value nor a comment");
  }
}

void OpenSection(Scanning& aScanning, const std::string& aLine)
{
  const std::size_t end = aLine.find(']');
  if (end == std::string::npos) {
    Report(aScanning, "the section header has no closing ]");
    return;
  }
  const std::string rest = Trimmed(aLine.substr(end + 1));
  if (!rest.empty() && rest[0] != ';' && rest[0] != '#') {
    Report(aScanning, "nothing may follow a section header on its line");
  }
  aScanning.mScan.mSections.push_back(
    { Trimmed(aLine.substr(1, end - 1)),
      { aScanning.mFile.mName, aScanning.mLine },
      {} });
}

/// Takes the line apart only as far as inih does not report it.
void OpenLine(Scanning& aScanning, const std::string& aLine)
{
  const bool isMarked =
    aScanning.mLine == 1 && aLine.starts_with(kByteOrderMark);
  const std::string line =
    Trimmed(isMarked ? aLine.substr(kByteOrderMark.size()) : aLine);
  aScanning.mAccounted =
    line.empty() || line[0] == ';' || line[0] == '#' || line[0] == '[';
  if (!line.empty() && line[0] == '[') {
    OpenSection(aScanning, line);
  }
}

char* ReadLine(char* aBuffer, int aSize, void* aStream)
{
  Scanning& scanning = *static_cast<Scanning*>(aStream);
  CloseLine(scanning);
  const std::string& text = scanning.mFile.mText;
  if (scanning.mNext >= text.size()) {
    scanning.mAccounted = true;
    return nullptr;
  }
  const std::size_t end =
    std::min(text.find('\n', scanning.mNext), text.size());
  std::string line = text.substr(scanning.mNext, end - scanning.mNext);
  scanning.mNext = end + 1;
  ++scanning.mLine;
  const std::size_t room =
    std::min(kMaxLineBytes, static_cast<std::size_t>(aSize) - 2);
  if (line.size() > room) {
    Report(scanning,
           "the line has " + std::to_string(line.size()) + " bytes; at most " +
             std::to_string(room) + " are allowed");
    line.clear();
  }
  OpenLine(scanning, line);
  line += '\n';
  std::copy(line.begin(), line.end(), aBuffer);
  aBuffer[line.size()] = '\0';
  return aBuffer;
}

int TakeEntry(void* aUser,
              const char* /*aSection*/,
              const char* aName,
              const char* aValue)
{
  Scanning& scanning = *static_cast<Scanning*>(aUser);
  scanning.mAccounted = true;
  const std::string name = aName == nullptr ? "" : aName;
  if (name.empty()) {
    Report(scanning, "a value without a key");
    return 1;
  }
  if (name.size() >= kMaxNameBytes) {
    Report(scanning, "the key is longer than any setting's name");
    return 1;
  }
  scanning.mScan.mSections.back().mEntries.push_back(
    { name,
      aValue == nullptr ? "" : aValue,
      { scanning.mFile.mName, scanning.mLine } });
  return 1;
}

/// inih is set up by globals, so this runs once for the process.
void ConfigureInih()
{
  static std::once_flag sOnce;
  std::call_once(sOnce, [] {
    // NOTE: With multi-line values an indented "key = value" would silently
    //       become part of the value above it.
    ini_allow_multiline = false;
    ini_use_stack = false;
    ini_initial_alloc = kMaxLineBytes + 3;
    ini_max_line = kMaxLineBytes + 3;
  });
}

std::optional<std::size_t> LineOfInvalidUtf8(const std::string& aText)
{
  const std::size_t valid = ValidUtf8Length(aText);
  if (valid == aText.size()) {
    return std::nullopt;
  }
  const auto end = aText.begin() + static_cast<std::ptrdiff_t>(valid);
  return 1 + static_cast<std::size_t>(std::count(aText.begin(), end, '\n'));
}

bool ReportUnreadable(const SettingsFile& aFile, Findings& aFindings)
{
  if (aFile.mText.size() > kMaxSettingsFileBytes) {
    aFindings.push_back({ { aFile.mName, 0 },
                          "the file has " + std::to_string(aFile.mText.size()) +
                            " bytes; at most " +
                            std::to_string(kMaxSettingsFileBytes) +
                            " are allowed" });
    return true;
  }
  if (Trimmed(aFile.mText).empty()) {
    aFindings.push_back({ { aFile.mName, 0 }, "the file is empty" });
    return true;
  }
  if (const auto line = LineOfInvalidUtf8(aFile.mText)) {
    aFindings.push_back(
      { { aFile.mName, *line }, "the line is not valid UTF-8" });
    return true;
  }
  if (HasControl(aFile.mText)) {
    aFindings.push_back(
      { { aFile.mName, 0 }, "the file holds a control character" });
    return true;
  }
  return false;
}

} // namespace

IniScan ScanIni(const SettingsFile& aFile)
{
  IniScan scan;
  if (ReportUnreadable(aFile, scan.mFindings)) {
    return scan;
  }
  ConfigureInih();
  scan.mSections.push_back({ "", { aFile.mName, 0 }, {} });
  Scanning scanning{ aFile, scan };
  ini_parse_stream(ReadLine, &scanning, TakeEntry, &scanning);
  return scan;
}

} // namespace Acaciavale
