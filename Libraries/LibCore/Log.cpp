#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Time.h>

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace Acaciavale {

namespace {

std::atomic<LogLevel> sLeastLevel{ LogLevel::Info };
std::atomic<LogFormat> sFormat{ LogFormat::Text };

std::string_view NameOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

void AppendEscaped(std::string& aOut, std::string_view aText, bool aQuotes)
{
  constexpr char kHexDigits[] = "0123456789abcdef";
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < 0x20 || byte == 0x7f) {
      aOut += "\\u00";
      aOut.push_back(kHexDigits[byte >> 4]);
      aOut.push_back(kHexDigits[byte & 15]);
    } else if (aQuotes && (character == '"' || character == '\\')) {
      aOut.push_back('\\');
      aOut.push_back(character);
    } else {
      aOut.push_back(character);
    }
  }
}

void AppendMember(std::string& aOut,
                  std::string_view aName,
                  std::string_view aValue)
{
  aOut += aOut.size() > 1 ? ",\"" : "\"";
  AppendEscaped(aOut, aName, true);
  aOut += "\":\"";
  AppendEscaped(aOut, aValue, true);
  aOut += '"';
}

std::string TextLine(LogLevel aLevel,
                     std::string_view aPart,
                     std::string_view aSentence,
                     std::initializer_list<LogField> aFields)
{
  std::string line;
  AppendEscaped(line, NameOf(aLevel), false);
  line += " [";
  AppendEscaped(line, aPart, false);
  line += "] ";
  AppendEscaped(line, aSentence, false);
  for (const auto& [name, value] : aFields) {
    line += ' ';
    AppendEscaped(line, name, false);
    line += '=';
    AppendEscaped(line, value, false);
  }
  return line;
}

std::string JsonLine(LogLevel aLevel,
                     std::string_view aPart,
                     std::string_view aSentence,
                     std::initializer_list<LogField> aFields)
{
  std::string line = "{";
  AppendMember(line, "time", std::to_string(CalendarNow().count()));
  AppendMember(line, "level", NameOf(aLevel));
  AppendMember(line, "part", aPart);
  AppendMember(line, "message", aSentence);
  for (const auto& [name, value] : aFields) {
    AppendMember(line, name, value);
  }
  return line + "}";
}

} // namespace

void ConfigureLog(LogLevel aLeast, LogFormat aFormat)
{
  sLeastLevel = aLeast;
  sFormat = aFormat;
  boost::log::core::get()->remove_all_sinks();
  boost::log::add_console_log(std::cerr,
                              boost::log::keywords::format = "%Message%",
                              boost::log::keywords::auto_flush = true);
}

void Log(LogLevel aLevel,
         std::string_view aPart,
         std::string_view aSentence,
         std::initializer_list<LogField> aFields)
{
  if (aLevel < sLeastLevel.load()) {
    return;
  }
  const std::string line = sFormat.load() == LogFormat::Text
                             ? TextLine(aLevel, aPart, aSentence, aFields)
                             : JsonLine(aLevel, aPart, aSentence, aFields);
  static boost::log::sources::logger_mt sLogger;
  BOOST_LOG(sLogger) << line;
}

} // namespace Acaciavale
