#include <Acaciavale/LibServer/NodeSettings.h>

#include <charconv>
#include <functional>
#include <ini.h>
#include <map>
#include <set>

namespace Acaciavale {

namespace {

using Key = std::pair<std::string, std::string>;

/// Parses and stores a value. Returns a description of the fault, or an empty
/// string if the value is valid.
using ValueParser =
  std::function<std::string(NodeSettings& aSettings, const std::string&)>;

ValueParser TextValue(std::string NodeSettings::*aMember)
{
  return [aMember](NodeSettings& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return aValue.empty() ? "must not be empty" : "";
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

ValueParser AddressValue(std::string NodeSettings::*aMember)
{
  return [aMember](NodeSettings& aSettings, const std::string& aValue) {
    aSettings.*aMember = aValue;
    return IsAddress(aValue) ? "" : "must be an IP address and port";
  };
}

template<typename Number>
ValueParser NumberInRange(Number NodeSettings::*aMember,
                          Number aMinimum,
                          Number aMaximum)
{
  return [=](NodeSettings& aSettings, const std::string& aValue) {
    Number number{};
    const char* const end = aValue.data() + aValue.size();
    const auto parsed = std::from_chars(aValue.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < aMinimum ||
        number > aMaximum) {
      return "must be a number from " + std::to_string(aMinimum) + " to " +
             std::to_string(aMaximum);
    }
    aSettings.*aMember = number;
    return std::string();
  };
}

template<typename Value>
ValueParser OneOf(Value NodeSettings::*aMember,
                  std::map<std::string, Value> aValues)
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

const std::map<Key, ValueParser>& ValueParsers()
{
  using Node = NodeSettings;
  static const std::map<Key, ValueParser> sParsers{
    { { "vm", "name" }, TextValue(&Node::mVmName) },
    { { "vm", "failure-domain" }, TextValue(&Node::mFailureDomain) },
    { { "vm", "weight" },
      NumberInRange<std::int64_t>(&Node::mWeight, 1, 10'000) },
    { { "vm", "threads" },
      NumberInRange<std::size_t>(&Node::mCallerThreads, 1, 64) },
    { { "vm", "caller-address" }, AddressValue(&Node::mCallerAddress) },
    { { "vm", "operator-address" }, AddressValue(&Node::mOperatorAddress) },
    { { "vm", "peer-address" }, AddressValue(&Node::mPeerAddress) },
    { { "platform", "key-value" }, AddressValue(&Node::mKeyValueAddress) },
    { { "platform", "endpoint-list" },
      AddressValue(&Node::mEndpointListAddress) },
    { { "platform", "ratings" }, AddressValue(&Node::mRatingsAddress) },
    { { "platform", "weights" }, AddressValue(&Node::mWeightsAddress) },
    { { "platform", "key-value-calls-per-second" },
      NumberInRange<double>(&Node::mKeyValueCallsPerSecond, 1, 1000) },
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
    { { "operators", "credential-salt" },
      TextValue(&Node::mOperatorCredentialSalt) },
    { { "operators", "credential-hash" },
      TextValue(&Node::mOperatorCredentialHash) },
  };
  return sParsers;
}

const std::set<Key>& RequiredKeys()
{
  static const std::set<Key> sRequired{ { "vm", "name" },
                                        { "vm", "failure-domain" },
                                        { "platform", "key-value" },
                                        { "platform", "endpoint-list" } };
  return sRequired;
}

std::string KeyText(const Key& aKey)
{
  return "[" + aKey.first + "] " + aKey.second;
}

struct ParseState
{
  std::string mFileName;
  NodeSettings mSettings;
  Findings mFindings;
  std::set<Key> mKeysSeen;

  void AddFinding(std::size_t aLine, std::string aMessage)
  {
    mFindings.push_back({ { mFileName, aLine }, std::move(aMessage) });
  }

  void ParseValue(const Key& aKey, const std::string& aValue, std::size_t aLine)
  {
    const auto parser = ValueParsers().find(aKey);
    if (parser == ValueParsers().end()) {
      AddFinding(aLine, "unknown setting " + KeyText(aKey));
      return;
    }
    if (!mKeysSeen.insert(aKey).second) {
      AddFinding(aLine, KeyText(aKey) + " is set more than once");
      return;
    }
    const std::string fault = parser->second(mSettings, aValue);
    if (!fault.empty()) {
      AddFinding(aLine,
                 KeyText(aKey) + " " + fault + ", not \"" + aValue + "\"");
    }
  }
};

/// Supplies the text to libinih line by line and counts the lines, because the
/// value callback of libinih receives no line number.
struct LineSource
{
  const std::string& mText;
  std::size_t mOffset = 0;
  std::size_t mLine = 0;
  ParseState& mState;
};

char* NextLine(char* aBuffer, int aSize, void* aSource)
{
  auto& source = *static_cast<LineSource*>(aSource);
  if (source.mOffset >= source.mText.size()) {
    return nullptr;
  }
  ++source.mLine;
  const std::size_t end =
    std::min(source.mText.find('\n', source.mOffset), source.mText.size());
  const std::size_t length = std::min<std::size_t>(
    end - source.mOffset, static_cast<std::size_t>(aSize) - 2);
  source.mText.copy(aBuffer, length, source.mOffset);
  aBuffer[length] = '\n';
  aBuffer[length + 1] = '\0';
  source.mOffset = end + 1;
  return aBuffer;
}

int OnValue(void* aSource,
            const char* aSection,
            const char* aName,
            const char* aValue)
{
  auto& source = *static_cast<LineSource*>(aSource);
  source.mState.ParseValue({ aSection, aName }, aValue, source.mLine);
  return 1;
}

} // namespace

NodeSettingsResult ParseNodeSettings(const std::string& aFileName,
                                     const std::string& aContents)
{
  ParseState state;
  state.mFileName = aFileName;
  LineSource source{ aContents, 0, 0, state };
  const int errorLine = ini_parse_stream(&NextLine, &source, &OnValue, &source);
  if (errorLine > 0) {
    state.AddFinding(static_cast<std::size_t>(errorLine),
                     "the line is neither a section nor a setting");
  }
  for (const Key& key : RequiredKeys()) {
    if (!state.mKeysSeen.contains(key)) {
      state.AddFinding(0, KeyText(key) + " is needed");
    }
  }
  NodeSettingsResult result;
  result.mFindings = Sorted(std::move(state.mFindings));
  if (result.mFindings.empty()) {
    result.mSettings = std::move(state.mSettings);
  }
  return result;
}

} // namespace Acaciavale
