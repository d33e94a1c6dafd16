// Small stand-ins for the review's scripts: the platform's store, replicas,
// clients and the platform that starts the nodes. They follow the users' pages.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline double Now()
{
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

/// Writes what was sent, answered and run.
class Record
{
public:
  void Open(const std::string& aPath)
  {
    mFile = std::fopen(aPath.c_str(), "w");
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    if (mFile != nullptr) {
      std::fprintf(mFile, "%9.3f %s\n", Now(), aText.c_str());
      std::fflush(mFile);
    }
  }

private:
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
};

inline Record& TheRecord()
{
  static Record record;
  return record;
}

inline void Say(const std::string& aText)
{
  TheRecord().Line(aText);
}

/// Ends the case: it could not run.
[[noreturn]] void CannotRun(const std::string& aWhy);

struct Message
{
  std::string mStart;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string Method() const { return mStart.substr(0, mStart.find(' ')); }
  std::string Target() const
  {
    const std::size_t from = mStart.find(' ') + 1;
    return mStart.substr(from, mStart.find(' ', from) - from);
  }
  int Status() const
  {
    return mStart.size() > 12 ? std::atoi(mStart.c_str() + 9) : 0;
  }
};

/// A connection with buffered reading.
class Channel
{
public:
  explicit Channel(int aHandle = -1)
    : mHandle(aHandle)
  {
  }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() { Close(); }

  bool Connect(const std::string& aAddress, int aReceiveBuffer = 0)
  {
    Close();
    mBuffer.clear();
    const std::size_t colon = aAddress.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
      htons(static_cast<uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
    inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
    mHandle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReceiveBuffer > 0) {
      setsockopt(mHandle,
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &aReceiveBuffer,
                 sizeof(aReceiveBuffer));
    }
    int on = 1;
    setsockopt(mHandle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(mHandle,
                reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      Close();
      return false;
    }
    return true;
  }

  void Close()
  {
    if (mHandle >= 0) {
      close(mHandle);
    }
    mHandle = -1;
  }

  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count =
        send(mHandle, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads some more bytes. Returns false at the end; mError tells why.
  bool Fill(double aSeconds, std::size_t aMost = 65536)
  {
    pollfd waiting{ mHandle, POLLIN, 0 };
    const int ready = poll(&waiting, 1, static_cast<int>(aSeconds * 1000));
    if (ready <= 0) {
      mError = "nothing arrived in time";
      return false;
    }
    std::string bytes(aMost, '\0');
    const ssize_t count = recv(mHandle, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      mError = count == 0 ? "end of the channel" : std::strerror(errno);
      return false;
    }
    mBuffer.append(bytes, 0, static_cast<std::size_t>(count));
    return true;
  }

  /// Whether the peer has closed the channel.
  bool IsClosedByPeer() const
  {
    pollfd waiting{ mHandle, POLLIN | POLLRDHUP, 0 };
    if (poll(&waiting, 1, 0) <= 0) {
      return false;
    }
    if ((waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
      return true;
    }
    char byte = 0;
    return recv(mHandle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  bool ReadHead(Message& aMessage, double aSeconds)
  {
    aMessage = {};
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aSeconds)) {
        return false;
      }
    }
    std::istringstream lines(mBuffer.substr(0, end + 2));
    mBuffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, aMessage.mStart);
    if (!aMessage.mStart.empty() && aMessage.mStart.back() == '\r') {
      aMessage.mStart.pop_back();
    }
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      aMessage.mHeaders.emplace_back(line.substr(0, colon), value);
    }
    return true;
  }

  /// Reads up to aMost bytes of what is due; false if the channel ended.
  bool Take(std::string& aBytes, std::size_t aCount, double aSeconds)
  {
    while (mBuffer.size() < aCount) {
      if (!Fill(aSeconds)) {
        return false;
      }
    }
    aBytes.append(mBuffer, 0, aCount);
    mBuffer.erase(0, aCount);
    return true;
  }

  bool ReadLine(std::string& aLine, double aSeconds)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n")) == std::string::npos) {
      if (!Fill(aSeconds)) {
        return false;
      }
    }
    aLine = mBuffer.substr(0, end);
    mBuffer.erase(0, end + 2);
    return true;
  }

  /// Reads the whole body. Returns false if it is incomplete.
  bool ReadBody(Message& aMessage, double aSeconds)
  {
    if (strcasecmp(aMessage.Header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      for (;;) {
        std::string line;
        if (!ReadLine(line, aSeconds)) {
          return false;
        }
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
          return ReadLine(line, aSeconds);
        }
        if (!Take(aMessage.mBody, size, aSeconds) ||
            !ReadLine(line, aSeconds)) {
          return false;
        }
      }
    }
    const std::string length = aMessage.Header("Content-Length");
    return length.empty() || Take(aMessage.mBody,
                                  std::strtoul(length.c_str(), nullptr, 10),
                                  aSeconds);
  }

  int Handle() const { return mHandle; }
  const std::string& Error() const { return mError; }
  std::size_t Buffered() const { return mBuffer.size(); }

private:
  int mHandle = -1;
  std::string mBuffer;
  std::string mError;
};

inline std::string Answer(int aStatus,
                          const std::string& aHeaders,
                          const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " S\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Listens on an address and serves each connection in a thread of its own.
class Server
{
public:
  using Handler = std::function<void(Channel&)>;

  void Start(const std::string& aHost, Handler aHandler, int aReceiveBuffer = 0)
  {
    mHandler = std::move(aHandler);
    mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReceiveBuffer > 0) {
      setsockopt(mSocket,
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &aReceiveBuffer,
                 sizeof(aReceiveBuffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
    socklen_t length = sizeof(address);
    if (bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
        listen(mSocket, 1024) != 0) {
      CannotRun("cannot listen");
    }
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &length);
    mAddress = aHost + ':' + std::to_string(ntohs(address.sin_port));
    std::thread([this] {
      for (;;) {
        const int handle = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
          return;
        }
        int on = 1;
        setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, handle] {
          Channel channel(handle);
          mHandler(channel);
        }).detach();
      }
    }).detach();
  }

  const std::string& Address() const { return mAddress; }

private:
  int mSocket = -1;
  std::string mAddress;
  Handler mHandler;
};

inline std::string EncodeBase64(const std::string& aBytes)
{
  static const char* const digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    unsigned value = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      value = value << 8 | (at + byte < aBytes.size()
                              ? static_cast<unsigned char>(aBytes[at + byte])
                              : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += at + digit <= aBytes.size()
                ? digits[value >> (18 - 6 * digit) & 63]
                : '=';
    }
  }
  return text;
}

inline std::string DecodeBase64(const std::string& aText)
{
  static const std::string digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string bytes;
  unsigned value = 0;
  int bits = 0;
  for (const char character : aText) {
    const std::size_t digit = digits.find(character);
    if (digit == std::string::npos) {
      break;
    }
    value = value << 6 | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(value >> bits & 255);
    }
  }
  return bytes;
}

/// The platform's metadata store.
class Store
{
public:
  void Start(const std::string& aHost)
  {
    mServer.Start(aHost, [this](Channel& aChannel) { Serve(aChannel); });
  }
  const std::string& Address() const { return mServer.Address(); }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    PutLocked(aKey, aValue, 0);
  }
  void Remove(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    if (mItems.erase(aKey) > 0) {
      ++mRevision;
    }
  }
  std::vector<std::string> Keys(const std::string& aPrefix)
  {
    const std::lock_guard lock(mMutex);
    ExpireLocked();
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (key.rfind(aPrefix, 0) == 0) {
        keys.push_back(key);
      }
    }
    return keys;
  }
  std::string Value(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mItems.find(aKey);
    return found == mItems.end() ? "" : found->second.mValue;
  }

private:
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::int64_t mCreated = 0;
    std::int64_t mLease = 0;
  };
  struct Lease
  {
    double mSeconds = 0;
    double mEndsAt = 0;
  };

  void PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 std::int64_t aLease)
  {
    ++mRevision;
    Item& item = mItems[aKey];
    item = {
      aValue, mRevision, item.mCreated == 0 ? mRevision : item.mCreated, aLease
    };
  }
  void ExpireLocked()
  {
    for (auto lease = mLeases.begin(); lease != mLeases.end();) {
      lease =
        lease->second.mEndsAt < Now() ? EndLocked(lease) : std::next(lease);
    }
  }
  std::map<std::int64_t, Lease>::iterator EndLocked(
    std::map<std::int64_t, Lease>::iterator aLease)
  {
    for (auto item = mItems.begin(); item != mItems.end();) {
      if (item->second.mLease == aLease->first) {
        item = mItems.erase(item);
        ++mRevision;
      } else {
        ++item;
      }
    }
    return mLeases.erase(aLease);
  }
  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const std::size_t mark = aTarget.find('?');
    std::string rest =
      mark == std::string::npos ? "" : "&" + aTarget.substr(mark + 1);
    const std::size_t from = rest.find('&' + aName + '=');
    if (from == std::string::npos) {
      return {};
    }
    rest = rest.substr(from + aName.size() + 2);
    rest = rest.substr(0, rest.find('&'));
    std::string value;
    for (std::size_t at = 0; at < rest.size(); ++at) {
      if (rest[at] == '%' && at + 2 < rest.size()) {
        value += static_cast<char>(
          std::strtol(rest.substr(at + 1, 2).c_str(), nullptr, 16));
        at += 2;
      } else {
        value += rest[at];
      }
    }
    return value;
  }
  Json ItemJson(const std::string& aKey, const Item& aItem) const
  {
    return { { "key", aKey },
             { "value", EncodeBase64(aItem.mValue) },
             { "revision", aItem.mRevision },
             { "created", aItem.mCreated },
             { "lease", aItem.mLease } };
  }

  std::pair<int, Json> Handle(const Message& aRequest)
  {
    const std::lock_guard lock(mMutex);
    ExpireLocked();
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/api/kv-range") {
      const std::string prefix = Query(target, "path-prefix");
      const std::string after = Query(target, "after");
      Json entries = Json::array();
      std::size_t bytes = 0;
      bool truncated = false;
      for (const auto& [key, item] : mItems) {
        if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
          continue;
        }
        if (entries.size() >= 500 || bytes > (1U << 20)) {
          truncated = true;
          break;
        }
        bytes += item.mValue.size();
        entries.push_back(ItemJson(key, item));
      }
      return { 200,
               { { "entries", entries },
                 { "truncated", truncated },
                 { "as-of", mRevision } } };
    }
    if (path == "/api/kv-key") {
      const std::string key = Query(target, "key");
      const auto found = mItems.find(key);
      if (found == mItems.end()) {
        return { 404, { { "as-of", mRevision } } };
      }
      Json item = ItemJson(key, found->second);
      item["as-of"] = mRevision;
      return { 200, item };
    }
    if (path == "/api/kv-lease") {
      const double seconds =
        Json::parse(aRequest.mBody).at("ttl-ms").get<double>() / 1000;
      mLeases[++mLastLease] = { seconds, Now() + seconds };
      return { 200, { { "lease", mLastLease }, { "ttl-ms", seconds * 1000 } } };
    }
    const auto leaseOf = [&](const std::string& aPrefix) {
      return mLeases.find(std::atoll(path.c_str() + aPrefix.size()));
    };
    if (path.rfind("/api/kv-keep/", 0) == 0) {
      const auto lease = leaseOf("/api/kv-keep/");
      if (lease == mLeases.end()) {
        return { 404, Json::object() };
      }
      lease->second.mEndsAt = Now() + lease->second.mSeconds;
      return { 200, { { "ttl-ms", lease->second.mSeconds * 1000 } } };
    }
    if (path.rfind("/api/kv-lease-end/", 0) == 0) {
      const auto lease = leaseOf("/api/kv-lease-end/");
      if (lease == mLeases.end()) {
        return { 404, Json::object() };
      }
      EndLocked(lease);
      return { 200, Json::object() };
    }
    if (path == "/api/kv-txn") {
      const Json body = Json::parse(aRequest.mBody);
      Json failed = Json::array();
      for (const Json& row : body.value("precondition", Json::array())) {
        const auto found = mItems.find(row.at("key").get<std::string>());
        const std::int64_t revision =
          found == mItems.end() ? 0 : found->second.mRevision;
        if (revision != row.at("revision").get<std::int64_t>()) {
          failed.push_back(row);
        }
      }
      if (!failed.empty()) {
        return { 412, { { "entries", failed } } };
      }
      for (const Json& put : body.value("puts", Json::array())) {
        const std::int64_t lease = put.value("lease", std::int64_t{ 0 });
        if (lease != 0 && mLeases.count(lease) == 0) {
          return { 404, Json::object() };
        }
      }
      for (const Json& put : body.value("puts", Json::array())) {
        PutLocked(put.at("key").get<std::string>(),
                  DecodeBase64(put.at("value").get<std::string>()),
                  put.value("lease", std::int64_t{ 0 }));
      }
      for (const Json& key : body.value("remove", Json::array())) {
        mItems.erase(key.get<std::string>());
        ++mRevision;
      }
      return { 200, { { "revision", mRevision } } };
    }
    return { 404, Json::object() };
  }

  void Serve(Channel& aChannel)
  {
    Message request;
    while (aChannel.ReadHead(request, 60) && aChannel.ReadBody(request, 10)) {
      std::pair<int, Json> answer;
      try {
        answer = Handle(request);
      } catch (const std::exception& failure) {
        answer = { 400, { { "error", failure.what() } } };
      }
      if (!aChannel.Send(Answer(answer.first,
                                "Content-Type: application/json\r\n",
                                answer.second.dump()))) {
        return;
      }
    }
  }

  std::mutex mMutex;
  std::map<std::string, Item> mItems;
  std::map<std::int64_t, Lease> mLeases;
  std::int64_t mRevision = 10;
  std::int64_t mLastLease = 0;
  Server mServer;
};

/// A replica: lists itself in the store and answers as aHandler says, one
/// request at a time on a channel.
class Replica
{
public:
  using Handler = std::function<bool(Replica&, Channel&, Message&)>;

  void Start(Store& aStore,
             const std::string& aId,
             const std::string& aService,
             const std::string& aHost,
             const std::string& aZone,
             int aSlots,
             Handler aHandler,
             bool aReadsBody = true,
             int aReceiveBuffer = 0,
             const std::string& aVersion = "v1")
  {
    mId = aId;
    mServer.Start(
      aHost,
      [this, aHandler, aReadsBody](Channel& aChannel) {
        Message request;
        while (aChannel.ReadHead(request, 60)) {
          const bool isWanted = request.Header("Expect-Replica") == mId;
          if (aReadsBody && !aChannel.ReadBody(request, 20)) {
            return;
          }
          if (!isWanted) {
            Say("replica " + mId + " answers 421");
            if (!aChannel.Send(
                  Answer(421, "Replica-Id: " + mId + "\r\n", ""))) {
              return;
            }
            continue;
          }
          if (!aHandler(*this, aChannel, request)) {
            return;
          }
        }
      },
      aReceiveBuffer);
    std::thread([this, &aStore, aService, aZone, aSlots, aVersion] {
      const std::int64_t born =
        std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
      for (std::int64_t number = 1;; ++number) {
        aStore.Put("servers/" + mId,
                   Json{ { "service", aService },
                         { "address", mServer.Address() },
                         { "zone", aZone },
                         { "version", aVersion },
                         { "slots", aSlots },
                         { "state", "ready" },
                         { "cold-left-ms", 0 },
                         { "born", born },
                         { "seq-no", number } }
                     .dump());
        Sleep(1.2);
      }
    }).detach();
  }

  const std::string& Id() const { return mId; }
  const std::string& Address() const { return mServer.Address(); }
  /// The headers that each answer of this replica has.
  std::string Headers(const Message& aRequest) const
  {
    return "Attempt-Id: " + aRequest.Header("Attempt-Id") +
           "\r\nReplica-Stamp: " + mId + "." + aRequest.Header("Attempt-Id") +
           "\r\nReplica-Load: 1,0,64\r\n";
  }

private:
  std::string mId;
  Server mServer;
};

/// Removes the process's own temporary folder and processes at the end.
class Platform
{
public:
  struct Node
  {
    std::string mName;
    std::string mIp;
    std::string mFront;
    std::string mReady;
    std::string mDirectory;
    std::string mLog;
    pid_t mPid = -1;
  };

  Platform()
  {
    char path[] = "/tmp/acaciavale-review-XXXXXX";
    if (mkdtemp(path) == nullptr) {
      CannotRun("no temporary folder");
    }
    mFolder = path;
    // Several runs may go on at once, so the loopback network is drawn.
    mNetwork = "127." + std::to_string(20 + getpid() % 200) + '.' +
               std::to_string(1 + (getpid() / 200) % 250) + '.';
  }

  std::string Host(int aNumber) const
  {
    return mNetwork + std::to_string(aNumber);
  }
  const std::string& Folder() const { return mFolder; }

  static std::string Replaced(std::string aText,
                              const std::string& aFrom,
                              const std::string& aTo)
  {
    for (std::size_t at = 0; (at = aText.find(aFrom, at)) != std::string::npos;
         at += aTo.size()) {
      aText.replace(at, aFrom.size(), aTo);
    }
    return aText;
  }

  static std::string FreePort(const std::string& aIp)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    socklen_t length = sizeof(address);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      CannotRun("no free port");
    }
    getsockname(handle, reinterpret_cast<sockaddr*>(&address), &length);
    close(handle);
    return std::to_string(ntohs(address.sin_port));
  }

  /// Fills in the template of the deploy file and starts the role's program.
  Node& StartNode(const std::string& aName,
                  int aNumber,
                  const std::string& aZone,
                  const std::string& aStore,
                  const std::map<std::string, std::string>& aBounds = {})
  {
    mNodes.push_back(std::make_unique<Node>());
    Node& node = *mNodes.back();
    node.mName = aName;
    node.mIp = Host(aNumber);
    node.mFront = node.mIp + ':' + FreePort(node.mIp);
    node.mReady = node.mIp + ':' + FreePort(node.mIp);
    node.mDirectory = node.mIp + ':' + FreePort(node.mIp);
    node.mLog = mFolder + '/' + aName + ".log";
    std::map<std::string, std::string> values{
      { "node-name", aName },
      { "ip", node.mIp },
      { "zone", aZone },
      { "region", "region" },
      { "limits.link-mbps", "1000.0" },
      { "is-bootstrap", "false" },
      { "listen.front", node.mFront },
      { "listen.ready", node.mReady },
      { "listen.directory", node.mDirectory },
      { "inner-port-range.0", FreePort(node.mIp) },
      { "platform.address", aStore },
      { "platform.ttl-min-ms", "1000" },
      { "bounds.grace-s", "8" },
      { "bounds.config-apply-ms", "2000" },
      { "bounds.drain-ms", "2000" },
      { "bounds.revoke-ms", "5000" },
      { "bounds.retry-budget-ratio", "0.9" },
      { "bounds.budget-window-s", "10" },
      { "bounds.retry-slack", "56" },
      { "bounds.ttl_max_s", "5" },
    };
    for (const auto& [name, value] : aBounds) {
      values[name] = value;
    }
    std::ifstream file("platform/node.ini.template");
    std::ostringstream text;
    text << file.rdbuf();
    std::string settings = text.str();
    for (const auto& [name, value] : values) {
      settings = Replaced(settings, "{{" + name + "}}", value);
    }
    const std::string path = mFolder + '/' + aName + ".ini";
    std::ofstream(path) << settings;
    if (settings.empty() ||
        access("target/platform/acaciavale-node", X_OK) != 0) {
      CannotRun("the program is not built, or the current folder is not the "
                "repository");
    }
    Run(node, path);
    return node;
  }

  static void Run(Node& aNode, const std::string& aSettings)
  {
    aNode.mPid = fork();
    if (aNode.mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
        open(aNode.mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("ACACIAVALE_SETTINGS", aSettings.c_str(), 1);
      execl("target/platform/acaciavale-node",
            "target/platform/acaciavale-node",
            nullptr);
      _exit(127);
    }
    Say("platform starts " + aNode.mName + " at " + aNode.mFront);
  }

  static bool IsReady(const Node& aNode)
  {
    Channel channel;
    Message answer;
    return channel.Connect(aNode.mReady) &&
           channel.Send("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
           channel.ReadHead(answer, 1) && answer.Status() == 200;
  }

  static void AwaitReady(const Node& aNode)
  {
    for (int trial = 0; trial < 200; ++trial) {
      if (IsReady(aNode)) {
        Say(aNode.mName + " is ready");
        return;
      }
      Sleep(0.1);
    }
    CannotRun(aNode.mName + " did not become ready");
  }

  /// Ends the processes that this case started.
  void EndAll()
  {
    for (const auto& node : mNodes) {
      if (node->mPid > 0) {
        kill(node->mPid, SIGCONT);
        kill(node->mPid, SIGKILL);
        waitpid(node->mPid, nullptr, 0);
        node->mPid = -1;
      }
    }
    if (std::getenv("KEEP") == nullptr) {
      for (const auto& node : mNodes) {
        unlink(node->mLog.c_str());
        unlink((mFolder + '/' + node->mName + ".ini").c_str());
      }
      rmdir(mFolder.c_str());
    } else {
      std::printf("logs are in %s\n", mFolder.c_str());
    }
  }

private:
  std::string mFolder;
  std::string mNetwork;
  std::vector<std::unique_ptr<Node>> mNodes;
};

inline Platform*& ThePlatform()
{
  static Platform* platform = nullptr;
  return platform;
}

/// Ends the case with its result: 1 the rule was broken, 0 it held, 2 it could
/// not run.
[[noreturn]] inline void End(int aResult, const std::string& aText)
{
  Say("result " + std::to_string(aResult) + ": " + aText);
  std::printf("%s\n", aText.c_str());
  std::fflush(stdout);
  if (ThePlatform() != nullptr) {
    ThePlatform()->EndAll();
  }
  _exit(aResult);
}

[[noreturn]] inline void CannotRun(const std::string& aWhy)
{
  End(2, "the case could not run: " + aWhy);
}

inline bool HasTrouble()
{
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// Common start of all cases. The argument is the folder of the case.
inline void Begin(int aCount, char** aArguments, Platform& aPlatform)
{
  std::signal(SIGPIPE, SIG_IGN);
  Now();
  ThePlatform() = &aPlatform;
  if (aCount != 2) {
    CannotRun("usage: CASE FOLDER");
  }
  TheRecord().Open(std::string(aArguments[1]) + "/record.txt");
  Say(std::string("trouble ") + (HasTrouble() ? "on" : "off"));
  std::thread([] {
    Sleep(115);
    CannotRun("it took too long");
  }).detach();
}

inline Json Route(const std::string& aName,
                  const std::string& aPrefix,
                  const std::string& aKind,
                  const std::string& aService,
                  int aTimeoutMs,
                  int aGoalMs,
                  int aMaxAttempts)
{
  return { { "name", aName },
           { "host", "records.example" },
           { "path-prefix", aPrefix },
           { "route-kind", aKind },
           { "timeout-ms", aTimeoutMs },
           { "goal-ms", aGoalMs },
           { "priority", 1 },
           { "service", aService },
           { "max-attempts", aMaxAttempts },
           { "public", true },
           { "sticky", false },
           { "resumable", aKind == "streaming" },
           { "gap-goal-ms", 1500 } };
}

inline Json Config(const std::vector<Json>& aRoutes,
                   const std::vector<std::string>& aServices)
{
  Json services = Json::array();
  for (const std::string& service : aServices) {
    services.push_back({ { "name", service },
                         { "health-path", "/healthz" },
                         { "max-conns", 370 },
                         { "protocol", "h1" },
                         { "tls", false } });
  }
  return { { "version", 7 },
           { "routes", Json(aRoutes) },
           { "services", services },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 4194304 },
               { "header-timeout-ms", 3000 },
               { "idle-timeout-ms", 15000 } } },
           { "tenants", Json::array() } };
}

inline std::string RequestText(const std::string& aMethod,
                               const std::string& aPath,
                               const std::string& aId,
                               int aDeadlineMs,
                               const std::string& aBody = "")
{
  return aMethod + ' ' + aPath +
         " HTTP/1.1\r\nHost: records.example\r\nAttempt-Id: " + aId +
         "\r\nDeadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n" +
         (aMethod == "POST"
            ? "Content-Length: " + std::to_string(aBody.size()) + "\r\n"
            : "") +
         "\r\n" + (aMethod == "POST" ? aBody : "");
}

} // namespace review
