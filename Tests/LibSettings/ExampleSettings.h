#pragma once

#include <Acaciavale/LibSettings/SettingsParser.h>

#include <string>

namespace Acaciavale {

/// Returns small valid settings, for tests to extend or modify.
inline std::string ExampleText()
{
  return "[deployment]\n"
         "name = example\n"
         "session-key = 00ff00ff00ff00ff00ff00ff00ff00ff\n"
         "[model m]\n"
         "input-price = 100micros/Mtok\n"
         "output-price = 200micros/Mtok\n"
         "[version m/a]\n"
         "[version m/b]\n"
         "prior-quality = 0.9\n"
         "[cascade c]\n"
         "stages = m/a, m/b\n"
         "[service s]\n"
         "[route s/log]\n"
         "method = POST\n"
         "path = /log\n"
         "[account group]\n"
         "models = m, c\n"
         "services = s\n"
         "burst = 100\n"
         "[account group/one]\n"
         "key-salt = 00\n"
         "key-hash = "
         "fe9b9d1ffd19917a3300f97876644c341045ce652a90a7759b016c8571d15c59\n";
}

inline std::vector<SettingsFile> Files(const std::string& aText)
{
  return { { "s.ini", aText } };
}

/// Returns all findings as lines of text.
inline std::string FindingLines(const std::vector<SettingsFile>& aFiles)
{
  std::string text;
  for (const Finding& finding : ParseSettings(aFiles).mFindings) {
    text += Describe(finding) + "\n";
  }
  return text;
}

} // namespace Acaciavale
