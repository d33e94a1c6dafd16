#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

/// Structured logging: each line has a level, a component, a short message and
/// fields.
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

/// Sets the minimum level and the format for the whole process. Lines are
/// written to stderr.
void ConfigureLog(LogLevel aMinimumLevel, LogFormat aFormat);

/// Like ConfigureLog, but lines are written to stdout by a separate thread, and
/// logging never blocks. Lines above the budget, and lines that stdout does not
/// accept in time, are dropped, and their number is logged.
void ConfigureBoundedLog(LogLevel aMinimumLevel,
                         LogFormat aFormat,
                         int aLinesPerSecond);

/// Writes the queued lines and stops the thread of ConfigureBoundedLog. Call it
/// before the process exits.
void FinishBoundedLog();

/// Writes one line. Control characters are escaped in all arguments, so that no
/// caller can forge a line.
void Log(LogLevel aLevel,
         std::string_view aComponent,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields = {});

} // namespace Acaciavale
