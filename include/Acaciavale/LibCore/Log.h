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
void ConfigureLog(LogLevel aMinimumLevel, LogFormat aFormat);

/// Like ConfigureLog, but writes to stdout from a thread of its own and never
/// blocks: lines above the budget, and lines that stdout does not take in time,
/// are dropped and counted, and the count is logged.
void ConfigureBoundedLog(LogLevel aMinimumLevel,
                         LogFormat aFormat,
                         int aLinesPerSecond);

/// Writes out what ConfigureBoundedLog's thread still holds and ends it; for
/// the end of a process.
void FinishBoundedLog();

/// Writes one line. Control characters in any part are escaped, so that no
/// caller can forge a line.
void Log(LogLevel aLevel,
         std::string_view aComponent,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields = {});

} // namespace Acaciavale
