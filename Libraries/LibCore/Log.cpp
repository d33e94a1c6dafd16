#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Time.h>

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <climits>
#include <iostream>
#include <poll.h>
#include <unistd.h>

namespace Acaciavale {

namespace {

std::atomic<LogLevel> sLeastLevel{ LogLevel::Info };
std::atomic<LogFormat> sFormat{ LogFormat::Text };

/// Lines that wait for stdout at most. A line takes some hundred bytes, so this
/// bounds the memory to about a megabyte.
constexpr std::size_t kMostWaitingLines = 2048;

/// Counts lines against a budget for each second; 0 is no budget.
class LineBudget
{
public:
  void Set(int aLinesPerSecond) { mLinesPerSecond = aLinesPerSecond; }

  /// Whether a line may be written now. Lines dropped in seconds before are
  /// handed over once, to be reported.
  bool Take(std::int64_t& aDropped)
  {
    const int budget = mLinesPerSecond.load();
    if (budget == 0) {
      return true;
    }
    const std::int64_t second =
      MonotonicNow().time_since_epoch() / std::chrono::seconds(1);
    if (mSecond.exchange(second) != second) {
      mTaken = 0;
      aDropped = mDropped.exchange(0);
    }
    if (mTaken.fetch_add(1) < budget) {
      return true;
    }
    NoteDropped();
    return false;
  }

  void NoteDropped() { mDropped += 1; }

private:
  std::atomic<int> mLinesPerSecond{ 0 };
  std::atomic<std::int64_t> mSecond{ 0 };
  std::atomic<int> mTaken{ 0 };
  std::atomic<std::int64_t> mDropped{ 0 };
};

LineBudget sBudget;

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

namespace {

namespace sinks = boost::log::sinks;

/// How long one look at a standard output lasts that takes nothing: the end of
/// a process waits no longer for it.
constexpr int kWritablePollMs = 50;

/// Drops lines for which there is no room, and counts them.
struct CountingOverflow : sinks::drop_on_overflow
{
  template<typename Lock>
  static bool on_overflow(const boost::log::record_view&, Lock&)
  {
    sBudget.NoteDropped();
    return false;
  }
};

/// Writes lines to standard output, but never waits in a write: whoever should
/// read it may have stopped, and the process has to be able to end.
class StandardOutput
  : public sinks::basic_formatted_sink_backend<char,
                                               sinks::synchronized_feeding>
{
public:
  // NOLINTNEXTLINE(readability-identifier-naming): Boost.Log calls it so.
  void consume(const boost::log::record_view&, const std::string& aLine)
  {
    // NOTE: A pipe that takes anything takes PIPE_BUF bytes; a longer write
    //       could block.
    std::string line = aLine.substr(0, PIPE_BUF - 1) + '\n';
    if (!IsWritable() || write(STDOUT_FILENO, line.data(), line.size()) !=
                           static_cast<ssize_t>(line.size())) {
      sBudget.NoteDropped();
    }
  }

  void GiveUp() { mIsGivenUp = true; }

private:
  bool IsWritable() const
  {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    int found = 0;
    do {
      found = poll(&output, 1, mIsGivenUp ? 0 : kWritablePollMs);
    } while (found == 0 && !mIsGivenUp);
    return found > 0;
  }

  std::atomic<bool> mIsGivenUp{ false };
};

using BoundedSink = sinks::asynchronous_sink<
  StandardOutput,
  sinks::bounded_fifo_queue<kMostWaitingLines, CountingOverflow>>;

boost::shared_ptr<StandardOutput> sStandardOutput;
boost::shared_ptr<BoundedSink> sBoundedSink;

} // namespace

void FinishBoundedLog()
{
  if (!sBoundedSink) {
    return;
  }
  boost::log::core::get()->remove_sink(sBoundedSink);
  sStandardOutput->GiveUp();
  sBoundedSink->stop();
  sBoundedSink->flush();
  sBoundedSink.reset();
  sStandardOutput.reset();
}

void ConfigureBoundedLog(LogLevel aLeast,
                         LogFormat aFormat,
                         int aLinesPerSecond)
{
  sLeastLevel = aLeast;
  sFormat = aFormat;
  sBudget.Set(aLinesPerSecond);
  sStandardOutput = boost::make_shared<StandardOutput>();
  sBoundedSink = boost::make_shared<BoundedSink>(sStandardOutput);
  sBoundedSink->set_formatter(boost::log::expressions::stream
                              << boost::log::expressions::smessage);
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(sBoundedSink);
}

void Log(LogLevel aLevel,
         std::string_view aPart,
         std::string_view aSentence,
         std::initializer_list<LogField> aFields)
{
  if (aLevel < sLeastLevel.load()) {
    return;
  }
  std::int64_t dropped = 0;
  const bool isWithin = sBudget.Take(dropped);
  if (dropped > 0) {
    Log(LogLevel::Warning,
        "log",
        "Lines were dropped.",
        { { "count", std::to_string(dropped) } });
  }
  if (!isWithin) {
    return;
  }
  const std::string line = sFormat.load() == LogFormat::Text
                             ? TextLine(aLevel, aPart, aSentence, aFields)
                             : JsonLine(aLevel, aPart, aSentence, aFields);
  static boost::log::sources::logger_mt sLogger;
  BOOST_LOG(sLogger) << line;
}

} // namespace Acaciavale
