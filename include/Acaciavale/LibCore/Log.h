#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

/// Structured logging: a fixed prefix per part, a short sentence, fields.
namespace Acaciavale {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

enum class LogFormat
{
  Text,
  JsonLines,
};

using LogField = std::pair<std::string_view, std::string>;

/// Sets the least level and the format for the whole process; writes to stderr.
void ConfigureLog(LogLevel aLeast, LogFormat aFormat);

/// Writes one line. Control characters in any part are escaped, so that no
/// caller can forge a line.
void Log(LogLevel aLevel,
         std::string_view aPart,
         std::string_view aSentence,
         std::initializer_list<LogField> aFields = {});

} // namespace Acaciavale
