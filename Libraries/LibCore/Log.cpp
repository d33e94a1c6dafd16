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

std::atomic<LogLevel> sMinimumLevel{ LogLevel::Info };
std::atomic<LogFormat> sFormat{ LogFormat::Text };

/// Maximum number of lines that wait for stdout. A line takes a few hundred
/// bytes, so this bounds the memory to about one megabyte.
constexpr std::size_t kMaxQueuedLines = 2048;

/// Limits the number of lines per second. A budget of 0 means no limit.
class LineBudget
{
public:
  void SetLinesPerSecond(int aLinesPerSecond)
  {
    mLinesPerSecond = aLinesPerSecond;
  }

  /// Returns whether a line may be written now. In the first call of a second,
  /// sets aDropped to the number of lines dropped since the last report.
  bool TryConsume(std::int64_t& aDropped)
  {
    const int budget = mLinesPerSecond.load();
    if (budget == 0) {
      return true;
    }
    const std::int64_t second =
      MonotonicNow().time_since_epoch() / std::chrono::seconds(1);
    if (mSecond.exchange(second) != second) {
      mConsumed = 0;
      aDropped = mDropped.exchange(0);
    }
    if (mConsumed.fetch_add(1) < budget) {
      return true;
    }
    RecordDropped();
    return false;
  }

  void RecordDropped() { mDropped += 1; }

private:
  std::atomic<int> mLinesPerSecond{ 0 };
  std::atomic<std::int64_t> mSecond{ 0 };
  std::atomic<int> mConsumed{ 0 };
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

void AppendEscaped(std::string& aOut,
                   std::string_view aText,
                   bool aEscapeQuotes)
{
  constexpr char kHexDigits[] = "0123456789abcdef";
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < 0x20 || byte == 0x7f) {
      aOut += "\\u00";
      aOut.push_back(kHexDigits[byte >> 4]);
      aOut.push_back(kHexDigits[byte & 15]);
    } else if (aEscapeQuotes && (character == '"' || character == '\\')) {
      aOut.push_back('\\');
      aOut.push_back(character);
    } else {
      aOut.push_back(character);
    }
  }
}

void AppendJsonMember(std::string& aOut,
                      std::string_view aName,
                      std::string_view aValue)
{
  aOut += aOut.size() > 1 ? ",\"" : "\"";
  AppendEscaped(aOut, aName, true);
  aOut += "\":\"";
  AppendEscaped(aOut, aValue, true);
  aOut += '"';
}

std::string FormatTextLine(LogLevel aLevel,
                           std::string_view aComponent,
                           std::string_view aMessage,
                           std::initializer_list<LogField> aFields)
{
  std::string line;
  AppendEscaped(line, NameOf(aLevel), false);
  line += " [";
  AppendEscaped(line, aComponent, false);
  line += "] ";
  AppendEscaped(line, aMessage, false);
  for (const auto& [name, value] : aFields) {
    line += ' ';
    AppendEscaped(line, name, false);
    line += '=';
    AppendEscaped(line, value, false);
  }
  return line;
}

std::string FormatJsonLine(LogLevel aLevel,
                           std::string_view aComponent,
                           std::string_view aMessage,
                           std::initializer_list<LogField> aFields)
{
  std::string line = "{";
  AppendJsonMember(line, "time", std::to_string(CalendarNow().count()));
  AppendJsonMember(line, "level", NameOf(aLevel));
  AppendJsonMember(line, "part", aComponent);
  AppendJsonMember(line, "message", aMessage);
  for (const auto& [name, value] : aFields) {
    AppendJsonMember(line, name, value);
  }
  return line + "}";
}

} // namespace

void ConfigureLog(LogLevel aMinimumLevel, LogFormat aFormat)
{
  sMinimumLevel = aMinimumLevel;
  sFormat = aFormat;
  boost::log::core::get()->remove_all_sinks();
  boost::log::add_console_log(std::cerr,
                              boost::log::keywords::format = "%Message%",
                              boost::log::keywords::auto_flush = true);
}

namespace {

namespace sinks = boost::log::sinks;

/// Timeout of one poll of standard output. The exit of the process waits at
/// most this long for an output that accepts no data.
constexpr int kWritablePollMilliseconds = 50;

/// Drops and counts lines when the queue is full.
struct CountingOverflow : sinks::drop_on_overflow
{
  template<typename Lock>
  static bool on_overflow(const boost::log::record_view&, Lock&)
  {
    sBudget.RecordDropped();
    return false;
  }
};

/// Writes lines to standard output without ever blocking in a write: the reader
/// may have stopped reading, and the process must still be able to exit.
class StandardOutput
  : public sinks::basic_formatted_sink_backend<char,
                                               sinks::synchronized_feeding>
{
public:
  // NOLINTNEXTLINE(readability-identifier-naming): name required by Boost.Log.
  void consume(const boost::log::record_view&, const std::string& aLine)
  {
    // NOTE: A writable pipe accepts at least PIPE_BUF bytes; a longer write
    //       could block.
    std::string line = aLine.substr(0, PIPE_BUF - 1) + '\n';
    if (!IsWritable() || write(STDOUT_FILENO, line.data(), line.size()) !=
                           static_cast<ssize_t>(line.size())) {
      sBudget.RecordDropped();
    }
  }

  void StopWaiting() { mHasStoppedWaiting = true; }

private:
  bool IsWritable() const
  {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    int readyCount = 0;
    do {
      readyCount =
        poll(&output, 1, mHasStoppedWaiting ? 0 : kWritablePollMilliseconds);
    } while (readyCount == 0 && !mHasStoppedWaiting);
    return readyCount > 0;
  }

  std::atomic<bool> mHasStoppedWaiting{ false };
};

using BoundedSink = sinks::asynchronous_sink<
  StandardOutput,
  sinks::bounded_fifo_queue<kMaxQueuedLines, CountingOverflow>>;

boost::shared_ptr<StandardOutput> sStandardOutput;
boost::shared_ptr<BoundedSink> sBoundedSink;

} // namespace

void FinishBoundedLog()
{
  if (!sBoundedSink) {
    return;
  }
  boost::log::core::get()->remove_sink(sBoundedSink);
  sStandardOutput->StopWaiting();
  sBoundedSink->stop();
  sBoundedSink->flush();
  sBoundedSink.reset();
  sStandardOutput.reset();
}

void ConfigureBoundedLog(LogLevel aMinimumLevel,
                         LogFormat aFormat,
                         int aLinesPerSecond)
{
  sMinimumLevel = aMinimumLevel;
  sFormat = aFormat;
  sBudget.SetLinesPerSecond(aLinesPerSecond);
  sStandardOutput = boost::make_shared<StandardOutput>();
  sBoundedSink = boost::make_shared<BoundedSink>(sStandardOutput);
  sBoundedSink->set_formatter(boost::log::expressions::stream
                              << boost::log::expressions::smessage);
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(sBoundedSink);
}

void Log(LogLevel aLevel,
         std::string_view aComponent,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields)
{
  if (aLevel < sMinimumLevel.load()) {
    return;
  }
  std::int64_t dropped = 0;
  const bool isWithinBudget = sBudget.TryConsume(dropped);
  if (dropped > 0) {
    Log(LogLevel::Warning,
        "log",
        "Lines were dropped.",
        { { "count", std::to_string(dropped) } });
  }
  if (!isWithinBudget) {
    return;
  }
  const std::string line =
    sFormat.load() == LogFormat::Text
      ? FormatTextLine(aLevel, aComponent, aMessage, aFields)
      : FormatJsonLine(aLevel, aComponent, aMessage, aFields);
  static boost::log::sources::logger_mt sLogger;
  BOOST_LOG(sLogger) << line;
}

} // namespace Acaciavale
