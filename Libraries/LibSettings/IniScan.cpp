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

/// Maximum length of a line in a settings file, in bytes.
constexpr std::size_t kMaxLineBytes = 4000;
/// inih silently truncates longer names to this length, so a name of this
/// length is rejected.
constexpr std::size_t kTruncatedNameBytes = 49;

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

/// State of a scan, shared with the callbacks of inih.
struct ScanState
{
  const SettingsFile& mFile;
  IniScan& mScan;
  std::size_t mNextLineOffset = 0; ///< Byte offset of the next line.
  std::size_t mLine = 0;
  bool mIsLineRecognized = true; ///< Whether the last line is valid INI.
};

void Report(ScanState& aState, std::string aMessage)
{
  aState.mScan.mFindings.push_back(
    { { aState.mFile.mName, aState.mLine }, std::move(aMessage) });
}

void ReportUnrecognizedLine(ScanState& aState)
{
  if (!aState.mIsLineRecognized) {
    Report(aState,
           "this line is neither a [section], a key = value nor a comment");
  }
}

void AddSection(ScanState& aState, const std::string& aLine)
{
  const std::size_t end = aLine.find(']');
  if (end == std::string::npos) {
    Report(aState, "the section header has no closing ]");
    return;
  }
  const std::string rest = Trimmed(aLine.substr(end + 1));
  if (!rest.empty() && rest[0] != ';' && rest[0] != '#') {
    Report(aState, "nothing may follow a section header on its line");
  }
  aState.mScan.mSections.push_back({ Trimmed(aLine.substr(1, end - 1)),
                                     { aState.mFile.mName, aState.mLine },
                                     {} });
}

/// Handles the lines that inih does not report: blank lines, comments and
/// section headers.
void StartLine(ScanState& aState, const std::string& aLine)
{
  const bool hasByteOrderMark =
    aState.mLine == 1 && aLine.starts_with(kByteOrderMark);
  const std::string line =
    Trimmed(hasByteOrderMark ? aLine.substr(kByteOrderMark.size()) : aLine);
  aState.mIsLineRecognized =
    line.empty() || line[0] == ';' || line[0] == '#' || line[0] == '[';
  if (!line.empty() && line[0] == '[') {
    AddSection(aState, line);
  }
}

char* ReadLine(char* aBuffer, int aSize, void* aStream)
{
  ScanState& state = *static_cast<ScanState*>(aStream);
  ReportUnrecognizedLine(state);
  const std::string& text = state.mFile.mText;
  if (state.mNextLineOffset >= text.size()) {
    state.mIsLineRecognized = true;
    return nullptr;
  }
  const std::size_t end =
    std::min(text.find('\n', state.mNextLineOffset), text.size());
  std::string line =
    text.substr(state.mNextLineOffset, end - state.mNextLineOffset);
  state.mNextLineOffset = end + 1;
  ++state.mLine;
  const std::size_t maxBytes =
    std::min(kMaxLineBytes, static_cast<std::size_t>(aSize) - 2);
  if (line.size() > maxBytes) {
    Report(state,
           "the line has " + std::to_string(line.size()) + " bytes; at most " +
             std::to_string(maxBytes) + " are allowed");
    line.clear();
  }
  StartLine(state, line);
  line += '\n';
  std::copy(line.begin(), line.end(), aBuffer);
  aBuffer[line.size()] = '\0';
  return aBuffer;
}

int AddEntry(void* aUser,
             const char* /*aSection*/,
             const char* aName,
             const char* aValue)
{
  ScanState& state = *static_cast<ScanState*>(aUser);
  state.mIsLineRecognized = true;
  const std::string name = aName == nullptr ? "" : aName;
  if (name.empty()) {
    Report(state, "the value has no key");
    return 1;
  }
  if (name.size() >= kTruncatedNameBytes) {
    Report(state, "the key is longer than any setting's name");
    return 1;
  }
  state.mScan.mSections.back().mEntries.push_back(
    { name,
      aValue == nullptr ? "" : aValue,
      { state.mFile.mName, state.mLine } });
  return 1;
}

/// inih is configured through global variables, so this runs once per process.
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

std::optional<std::size_t> FindInvalidUtf8Line(const std::string& aText)
{
  const std::size_t valid = ValidUtf8Length(aText);
  if (valid == aText.size()) {
    return std::nullopt;
  }
  const auto end = aText.begin() + static_cast<std::ptrdiff_t>(valid);
  return 1 + static_cast<std::size_t>(std::count(aText.begin(), end, '\n'));
}

bool ReportUnscannableFile(const SettingsFile& aFile, Findings& aFindings)
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
  if (const auto line = FindInvalidUtf8Line(aFile.mText)) {
    aFindings.push_back(
      { { aFile.mName, *line }, "the line is not valid UTF-8" });
    return true;
  }
  if (HasControlCharacter(aFile.mText)) {
    aFindings.push_back(
      { { aFile.mName, 0 }, "the file contains a control character" });
    return true;
  }
  return false;
}

} // namespace

IniScan ScanIni(const SettingsFile& aFile)
{
  IniScan scan;
  if (ReportUnscannableFile(aFile, scan.mFindings)) {
    return scan;
  }
  ConfigureInih();
  scan.mSections.push_back({ "", { aFile.mName, 0 }, {} });
  ScanState state{ aFile, scan };
  ini_parse_stream(ReadLine, &state, AddEntry, &state);
  return scan;
}

} // namespace Acaciavale
