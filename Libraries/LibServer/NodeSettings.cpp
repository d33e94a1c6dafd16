#include <Acaciavale/LibServer/NodeSettings.h>

#include <charconv>
#include <functional>
#include <ini.h>
#include <map>
#include <set>

namespace Acaciavale {

namespace {

using Key = std::pair<std::string, std::string>;

/// Takes one value; returns what is wrong with it, or nothing.
using Taker =
  std::function<std::string(NodeSettings& aSettings, const std::string&)>;

Taker Text(std::string NodeSettings::*aMember)
{
  return [aMember](NodeSettings& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return aValue.empty() ? "may not be empty" : "";
  };
}

bool IsAddress(const std::string& aValue)
{
  const std::size_t colon = aValue.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  const std::string host = aValue.substr(0, colon);
  const char* const start = aValue.data() + colon + 1;
  const char* const end = aValue.data() + aValue.size();
  unsigned port = 0;
  const auto parsed = std::from_chars(start, end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port <= 65535 &&
         host.find_first_not_of("0123456789.:abcdefABCDEF[]") ==
           std::string::npos;
}

Taker Address(std::string NodeSettings::*aMember)
{
  return [aMember](NodeSettings& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return IsAddress(aValue) ? "" : "must be an IP number and port";
  };
}

template<typename Number>
Taker Whole(Number NodeSettings::*aMember, Number aLeast, Number aMost)
{
  return [=](NodeSettings& aSettings, const std::string& aValue) {
    Number number{};
    const char* const end = aValue.data() + aValue.size();
    const auto parsed = std::from_chars(aValue.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < aLeast ||
        number > aMost) {
      return "must be a number from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost);
    }
    aSettings.*aMember = number;
    return std::string();
  };
}

template<typename Value>
Taker OneOf(Value NodeSettings::*aMember, std::map<std::string, Value> aValues)
{
  return [aMember, values = std::move(aValues)](NodeSettings& aSettings,
                                                const std::string& aValue) {
    const auto found = values.find(aValue);
    if (found != values.end()) {
      aSettings.*aMember = found->second;
      return std::string();
    }
    std::string allowed;
    for (const auto& [name, value] : values) {
      allowed += (allowed.empty() ? "" : ", ") + name;
    }
    return "must be one of " + allowed;
  };
}

const std::map<Key, Taker>& Takers()
{
  using Node = NodeSettings;
  static const std::map<Key, Taker> sTakers{
    { { "vm", "name" }, Text(&Node::mVm) },
    { { "vm", "failure-domain" }, Text(&Node::mFailureDomain) },
    { { "vm", "weight" }, Whole<std::int64_t>(&Node::mWeight, 1, 10'000) },
    { { "vm", "threads" }, Whole<std::size_t>(&Node::mThreads, 1, 64) },
    { { "vm", "caller-address" }, Address(&Node::mCallerAddress) },
    { { "vm", "operator-address" }, Address(&Node::mOperatorAddress) },
    { { "vm", "peer-address" }, Address(&Node::mPeerAddress) },
    { { "platform", "key-value" }, Address(&Node::mKeyValueAddress) },
    { { "platform", "endpoint-list" }, Address(&Node::mEndpointListAddress) },
    { { "platform", "ratings" }, Address(&Node::mRatingsAddress) },
    { { "platform", "weights" }, Address(&Node::mWeightsAddress) },
    { { "platform", "key-value-calls-per-second" },
      Whole<double>(&Node::mKeyValueCallsPerSecond, 1, 1000) },
    { { "log", "level" },
      OneOf<LogLevel>(&Node::mLogLevel,
                      { { "debug", LogLevel::Debug },
                        { "info", LogLevel::Info },
                        { "warning", LogLevel::Warning },
                        { "error", LogLevel::Error } }) },
    { { "log", "format" },
      OneOf<LogFormat>(
        &Node::mLogFormat,
        { { "text", LogFormat::Text }, { "json", LogFormat::JsonLines } }) },
    { { "operators", "credential-salt" }, Text(&Node::mOperatorSalt) },
    { { "operators", "credential-hash" }, Text(&Node::mOperatorHash) },
  };
  return sTakers;
}

const std::set<Key>& RequiredKeys()
{
  static const std::set<Key> sRequired{ { "vm", "name" },
                                        { "vm", "failure-domain" },
                                        { "platform", "key-value" },
                                        { "platform", "endpoint-list" } };
  return sRequired;
}

std::string Shown(const Key& aKey)
{
  return "[" + aKey.first + "] " + aKey.second;
}

struct Reading
{
  std::string mName;
  NodeSettings mSettings;
  Findings mFindings;
  std::set<Key> mSeen;

  void Find(std::size_t aLine, std::string aMessage)
  {
    mFindings.push_back({ { mName, aLine }, std::move(aMessage) });
  }

  void Take(const Key& aKey, const std::string& aValue, std::size_t aLine)
  {
    const auto taker = Takers().find(aKey);
    if (taker == Takers().end()) {
      Find(aLine, "unknown setting " + Shown(aKey));
      return;
    }
    if (!mSeen.insert(aKey).second) {
      Find(aLine, Shown(aKey) + " stands twice");
      return;
    }
    const std::string wrong = taker->second(mSettings, aValue);
    if (!wrong.empty()) {
      Find(aLine, Shown(aKey) + " " + wrong + ", not \"" + aValue + "\"");
    }
  }
};

/// Splits the text by lines for libinih and counts them, since its callback is
/// given no line number.
struct LineSource
{
  const std::string& mText;
  std::size_t mAt = 0;
  std::size_t mLine = 0;
  Reading& mReading;
};

char* NextLine(char* aBuffer, int aSize, void* aSource)
{
  auto& source = *static_cast<LineSource*>(aSource);
  if (source.mAt >= source.mText.size()) {
    return nullptr;
  }
  ++source.mLine;
  const std::size_t end =
    std::min(source.mText.find('\n', source.mAt), source.mText.size());
  const std::size_t length = std::min<std::size_t>(
    end - source.mAt, static_cast<std::size_t>(aSize) - 2);
  source.mText.copy(aBuffer, length, source.mAt);
  aBuffer[length] = '\n';
  aBuffer[length + 1] = '\0';
  source.mAt = end + 1;
  return aBuffer;
}

int OnValue(void* aSource,
            const char* aSection,
            const char* aName,
            const char* aValue)
{
  auto& source = *static_cast<LineSource*>(aSource);
  source.mReading.Take({ aSection, aName }, aValue, source.mLine);
  return 1;
}

} // namespace

NodeSettingsReading ReadNodeSettings(const std::string& aName,
                                     const std::string& aText)
{
  Reading reading;
  reading.mName = aName;
  LineSource source{ aText, 0, 0, reading };
  const int wrongLine = ini_parse_stream(&NextLine, &source, &OnValue, &source);
  if (wrongLine > 0) {
    reading.Find(static_cast<std::size_t>(wrongLine),
                 "neither a section nor a setting");
  }
  for (const Key& key : RequiredKeys()) {
    if (!reading.mSeen.contains(key)) {
      reading.Find(0, Shown(key) + " is needed");
    }
  }
  NodeSettingsReading result;
  result.mFindings = Sorted(std::move(reading.mFindings));
  if (result.mFindings.empty()) {
    result.mSettings = std::move(reading.mSettings);
  }
  return result;
}

} // namespace Acaciavale
