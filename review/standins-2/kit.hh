// Stand-ins for the cases of review/REPORT-2.md: the platform's store,
// replicas, clients, and the machines' processes. They follow the users' pages
// and run as threads of one process that talks to acaciavale-node over loopback
// sockets.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Kit {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline double Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

// ---------------------------------------------------------------- record.txt

inline std::mutex sRecordMutex;
inline std::ofstream sRecord;

/// Opens the record, and limits the time of the case.
void OpenRecord(const std::string& aPath);

inline void Record(const std::string& aLine)
{
  const std::lock_guard<std::mutex> lock(sRecordMutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", Now());
  sRecord << time << aLine << std::endl;
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if it could not
/// run.
[[noreturn]] inline void Exit(int aCode, const std::string& aReason);

// ------------------------------------------------------------------- sockets

inline int FreePort()
{
  static std::set<int> sGiven;
  for (;;) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    const bool isBound =
      bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(fd);
    const int port = ntohs(address.sin_port);
    if (isBound && sGiven.insert(port).second) {
      return port;
    }
  }
}

inline std::string Local(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

inline bool SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

struct Head
{
  std::string mFirstLine;
  std::vector<std::pair<std::string, std::string>> mFields;

  std::string Value(const std::string& aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  bool Has(const std::string& aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return true;
      }
    }
    return false;
  }
};

inline Head ParseHead(const std::string& aText)
{
  Head head;
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
      line.pop_back();
    }
    if (head.mFirstLine.empty()) {
      head.mFirstLine = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    head.mFields.push_back({ line.substr(0, colon), value });
  }
  return head;
}

/// A TCP connection with what was received and is not consumed yet.
struct Connection
{
  int mFd = -1;
  std::string mReceived;

  explicit Connection(int aFd = -1)
    : mFd(aFd)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }
  /// Closes the connection so that the other side sees a reset.
  void Reset()
  {
    if (mFd >= 0) {
      const linger now{ 1, 0 };
      setsockopt(mFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    Close();
  }
  /// Returns false at the end of the connection, or after the time.
  bool Receive(double aUntil = 1e18)
  {
    const double left = aUntil - Now();
    pollfd ready{ mFd, POLLIN, 0 };
    if (left <= 0 ||
        poll(&ready, 1, left > 1e6 ? -1 : static_cast<int>(left * 1000) + 1) <=
          0) {
      return false;
    }
    char bytes[65536];
    const ssize_t count = recv(mFd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    mReceived.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool IsClosedByPeer() const
  {
    pollfd ready{ mFd, POLLIN, 0 };
    if (poll(&ready, 1, 0) <= 0) {
      return false;
    }
    char byte;
    return recv(mFd, &byte, 1, MSG_PEEK) <= 0;
  }
  std::optional<Head> ReceiveHead(double aUntil = 1e18)
  {
    for (;;) {
      const std::size_t end = mReceived.find("\r\n\r\n");
      if (end != std::string::npos) {
        const Head head = ParseHead(mReceived.substr(0, end + 2));
        mReceived.erase(0, end + 4);
        return head;
      }
      if (!Receive(aUntil)) {
        return std::nullopt;
      }
    }
  }
  bool ReceiveBytes(std::size_t aCount, std::string& aOut, double aUntil = 1e18)
  {
    while (mReceived.size() < aCount) {
      if (!Receive(aUntil)) {
        return false;
      }
    }
    aOut += mReceived.substr(0, aCount);
    mReceived.erase(0, aCount);
    return true;
  }
};

inline int ConnectTo(int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

struct Request
{
  std::string mMethod;
  std::string mTarget;
  Head mHead;
  std::string mBody;
};

/// An HTTP/1.1 server with a thread for each connection.
class Server
{
public:
  using Handler = std::function<void(Connection&, const Request&)>;

  Server(Handler aHandler, int aPort = 0)
    : mHandler(std::move(aHandler))
  {
    Listen(aPort);
  }

  int Port() const { return mPort; }

  /// Refuses new connections from now on. The open ones stay.
  void StopListening()
  {
    mIsClosed = true;
    shutdown(mFd, SHUT_RDWR);
    close(mFd);
  }

  /// Ends as the process of a server does that is killed: new connections are
  /// refused, the open ones end.
  void Crash()
  {
    StopListening();
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const int fd : mOpen) {
      shutdown(fd, SHUT_RDWR);
    }
  }

  bool HasCrashed() const { return mIsClosed; }

  /// From now on, the handler reads the body of a request itself, from a window
  /// of the given size.
  void LeaveBodies(int aWindowBytes)
  {
    mLeavesBodies = true;
    setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &aWindowBytes, sizeof(aWindowBytes));
    // Segments as on a real link.
    const int segmentBytes = 1460;
    setsockopt(
      mFd, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
  }

private:
  void Listen(int aPort)
  {
    mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(mFd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(mFd, 512) != 0) {
      Exit(2, "a stand-in cannot listen");
    }
    getsockname(mFd, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  void Accept()
  {
    for (;;) {
      const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (mIsClosed) {
        if (fd >= 0) {
          close(fd);
        }
        return;
      }
      if (fd < 0) {
        Sleep(0.01);
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int aFd)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mOpen.insert(aFd);
    }
    Connection connection(aFd);
    ServeRequests(connection);
    const std::lock_guard<std::mutex> lock(mMutex);
    mOpen.erase(aFd);
    connection.Close();
  }

  void ServeRequests(Connection& connection)
  {
    while (connection.mFd >= 0 && !mIsClosed) {
      const auto head = connection.ReceiveHead();
      if (!head) {
        return;
      }
      Request request;
      request.mHead = *head;
      std::istringstream words(head->mFirstLine);
      words >> request.mMethod >> request.mTarget;
      const std::string length = head->Value("Content-Length");
      if (!length.empty() && !mLeavesBodies &&
          !connection.ReceiveBytes(std::stoul(length), request.mBody)) {
        return;
      }
      mHandler(connection, request);
    }
  }

  Handler mHandler;
  int mFd = -1;
  int mPort = 0;
  std::atomic<bool> mIsClosed{ false };
  std::atomic<bool> mLeavesBodies{ false };
  std::mutex mMutex;
  std::set<int> mOpen;
};

inline std::string ResponseText(
  int aStatus,
  const std::string& aBody,
  const std::vector<std::pair<std::string, std::string>>& aFields = {})
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " -\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

// --------------------------------------------------------------------- store

inline std::string Base64(const std::string& aBytes)
{
  static const char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    unsigned bits = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      bits = bits << 8 | (at + index < aBytes.size()
                            ? static_cast<unsigned char>(aBytes[at + index])
                            : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text += at + index > aBytes.size()
                ? '='
                : kDigits[bits >> (18 - 6 * index) & 63];
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& aText)
{
  std::string bytes;
  unsigned bits = 0;
  int count = 0;
  for (const char digit : aText) {
    unsigned value = 0;
    if (digit >= 'A' && digit <= 'Z') {
      value = static_cast<unsigned>(digit - 'A');
    } else if (digit >= 'a' && digit <= 'z') {
      value = static_cast<unsigned>(digit - 'a') + 26;
    } else if (digit >= '0' && digit <= '9') {
      value = static_cast<unsigned>(digit - '0') + 52;
    } else if (digit == '+') {
      value = 62;
    } else if (digit == '/') {
      value = 63;
    } else {
      break;
    }
    bits = bits << 6 | value;
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>(bits >> count & 255);
    }
  }
  return bytes;
}

/// The platform's metadata store. Several addresses may lead to it.
class Store
{
public:
  Store()
    : mServer([this](Connection& aConnection, const Request& aRequest) {
      Serve(aConnection, aRequest);
    })
  {
  }

  int Port() const { return mServer.Port(); }
  Server& Listener() { return mServer; }

  /// Opens another address of the same store.
  std::unique_ptr<Server> OtherAddress()
  {
    return std::make_unique<Server>(
      [this](Connection& aConnection, const Request& aRequest) {
        Serve(aConnection, aRequest);
      });
  }

  /// A write of the operator or of a replica. Its return is the ack.
  void Put(const std::string& aKey, const Json& aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    PutItem(aKey, aValue.dump(), 0);
  }
  void PutText(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    PutItem(aKey, aValue, 0);
  }
  void Remove(const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mItems.erase(aKey);
    ++mRevision;
  }
  std::optional<std::string> Value(const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    EndLeases();
    const auto found = mItems.find(aKey);
    return found == mItems.end() ? std::nullopt
                                 : std::optional(found->second.mValue);
  }
  std::size_t CountWith(const std::string& aPrefix)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    EndLeases();
    std::size_t count = 0;
    for (const auto& [key, item] : mItems) {
      count += key.compare(0, aPrefix.size(), aPrefix) == 0 ? 1 : 0;
    }
    return count;
  }

  /// Executes a call without an answer; returns its status.
  int Execute(const Request& aRequest)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    EndLeases();
    int status = 200;
    Json body;
    Answer(aRequest, status, body);
    return status;
  }

  std::atomic<long> mCalls{ 0 };
  /// May answer a call in place of the store; returns whether it did.
  std::function<bool(Connection&, const Request&)> mIntercept;

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
    double mEnd = 0;
  };

  void PutItem(const std::string& aKey,
               const std::string& aValue,
               std::int64_t aLease)
  {
    Item& item = mItems[aKey];
    ++mRevision;
    item.mValue = aValue;
    item.mRevision = mRevision;
    item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
    item.mLease = aLease;
  }

  void EndLease(std::int64_t aLease)
  {
    mLeases.erase(aLease);
    for (auto item = mItems.begin(); item != mItems.end();) {
      if (item->second.mLease == aLease) {
        item = mItems.erase(item);
        ++mRevision;
      } else {
        ++item;
      }
    }
  }

  void EndLeases()
  {
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : mLeases) {
      if (lease.mEnd < Now()) {
        ended.push_back(id);
      }
    }
    for (const std::int64_t id : ended) {
      EndLease(id);
    }
  }

  static std::string Parameter(const std::string& aTarget,
                               const std::string& aName)
  {
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      const std::size_t end = aTarget.find('&', at + 1);
      const std::string pair =
        aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (pair.compare(0, aName.size() + 1, aName + "=") == 0) {
        std::string text;
        for (std::size_t index = aName.size() + 1; index < pair.size();
             ++index) {
          if (pair[index] == '%' && index + 2 < pair.size()) {
            text += static_cast<char>(
              std::stoi(pair.substr(index + 1, 2), nullptr, 16));
            index += 2;
          } else {
            text += pair[index];
          }
        }
        return text;
      }
      at = end;
    }
    return {};
  }

  Json ItemJson(const std::string& aKey, const Item& aItem) const
  {
    return { { "key", aKey },
             { "value", Base64(aItem.mValue) },
             { "revision", aItem.mRevision },
             { "created", aItem.mCreated },
             { "lease", aItem.mLease } };
  }

  void Serve(Connection& aConnection, const Request& aRequest)
  {
    ++mCalls;
    if (mIntercept && mIntercept(aConnection, aRequest)) {
      return;
    }
    int status = 200;
    Json body = Json::object();
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      EndLeases();
      Answer(aRequest, status, body);
    }
    SendAll(aConnection.mFd,
            ResponseText(
              status, body.dump(), { { "Content-Type", "application/json" } }));
  }

  void Answer(const Request& aRequest, int& aStatus, Json& aBody)
  {
    const std::string path =
      aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
    const auto idIn = [&path](const std::string& aPrefix) {
      return std::stoll(path.substr(aPrefix.size()));
    };
    if (path == "/api/kv-range") {
      const std::string prefix = Parameter(aRequest.mTarget, "path-prefix");
      const std::string after = Parameter(aRequest.mTarget, "after");
      Json entries = Json::array();
      bool isTruncated = false;
      std::size_t bytes = 0;
      for (const auto& [key, item] : mItems) {
        if (key.compare(0, prefix.size(), prefix) != 0 ||
            (!after.empty() && key <= after)) {
          continue;
        }
        if (entries.size() >= 500 || bytes > (1U << 20)) {
          isTruncated = true;
          break;
        }
        bytes += item.mValue.size();
        entries.push_back(ItemJson(key, item));
      }
      aBody = { { "entries", entries },
                { "truncated", isTruncated },
                { "as-of", mRevision } };
    } else if (path == "/api/kv-key") {
      const std::string key = Parameter(aRequest.mTarget, "key");
      const auto found = mItems.find(key);
      if (found == mItems.end()) {
        aStatus = 404;
      } else {
        aBody = ItemJson(key, found->second);
      }
      aBody["as-of"] = mRevision;
    } else if (path == "/api/kv-lease") {
      const double seconds =
        Json::parse(aRequest.mBody).at("ttl-ms").get<double>() / 1000;
      mLeases[++mLastLease] = { seconds, Now() + seconds };
      aBody = { { "lease", mLastLease }, { "ttl-ms", seconds * 1000 } };
    } else if (path.rfind("/api/kv-keep/", 0) == 0) {
      const auto lease = mLeases.find(idIn("/api/kv-keep/"));
      if (lease == mLeases.end()) {
        aStatus = 404;
      } else {
        lease->second.mEnd = Now() + lease->second.mSeconds;
        aBody = { { "ttl-ms", lease->second.mSeconds * 1000 } };
      }
    } else if (path.rfind("/api/kv-lease-end/", 0) == 0) {
      EndLease(idIn("/api/kv-lease-end/"));
    } else if (path == "/api/kv-txn") {
      Transact(Json::parse(aRequest.mBody), aStatus, aBody);
    } else {
      aStatus = 404;
    }
  }

  void Transact(const Json& aTransaction, int& aStatus, Json& aBody)
  {
    for (const Json& row : aTransaction.value("precondition", Json::array())) {
      const auto found = mItems.find(row.at("key").get<std::string>());
      const std::int64_t revision =
        found == mItems.end() ? 0 : found->second.mRevision;
      if (revision != row.at("revision").get<std::int64_t>()) {
        aStatus = 412;
        aBody = { { "entries", Json::array() } };
        return;
      }
    }
    for (const Json& put : aTransaction.value("puts", Json::array())) {
      const std::int64_t lease = put.value("lease", std::int64_t{ 0 });
      if (lease != 0 && mLeases.count(lease) == 0) {
        aStatus = 404;
        return;
      }
    }
    for (const Json& put : aTransaction.value("puts", Json::array())) {
      PutItem(put.at("key").get<std::string>(),
              FromBase64(put.at("value").get<std::string>()),
              put.value("lease", std::int64_t{ 0 }));
    }
    for (const Json& key : aTransaction.value("remove", Json::array())) {
      mItems.erase(key.get<std::string>());
      ++mRevision;
    }
    aBody = { { "revision", mRevision } };
  }

  std::mutex mMutex;
  std::map<std::string, Item> mItems;
  std::map<std::int64_t, Lease> mLeases;
  std::int64_t mLastLease = 0;
  std::int64_t mRevision = 10;
  Server mServer;
};

// ------------------------------------------------------------------ replicas

/// A replica of a service, which registers itself in the store and writes there
/// every 1.2 s.
class Replica
{
public:
  /// Answers a request that this replica runs.
  using Script = std::function<void(Replica&, Connection&, const Request&)>;

  Replica(Store& aStore,
          std::string aService,
          std::string aId,
          Script aScript,
          int aSlots = 6)
    : mStore(aStore)
    , mService(std::move(aService))
    , mId(std::move(aId))
    , mSlots(aSlots)
    , mScript(std::move(aScript))
  {
    Return();
    std::thread([this] {
      for (;;) {
        Sleep(1.2);
        Register();
      }
    }).detach();
  }

  /// Starts a new lifetime under the same id, at another port. The replica
  /// says that it is slow for the given time.
  void Return(double aColdSeconds = 0)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
      mNumber = 0;
      mColdUntil = Now() + aColdSeconds;
      mServer = std::make_shared<Server>(
        [this](Connection& aConnection, const Request& aRequest) {
          Serve(aConnection, aRequest);
        });
      sServers.push_back(mServer);
    }
    Record("replica   " + mId + " starts at " + Local(mServer->Port()));
    Register();
  }

  /// Ends without a word. The entry stays until the platform removes it.
  void Crash()
  {
    Record("replica   " + mId + " crashes");
    mServer->Crash();
  }

  const std::string& Id() const { return mId; }

  bool IsCold() const { return Now() < mColdUntil; }

  /// See Server.
  void LeaveBodies(int aWindowBytes) { mServer->LeaveBodies(aWindowBytes); }

  std::vector<std::pair<std::string, std::string>> AnswerFields(
    const Request& aRequest) const
  {
    return { { "Attempt-Id", aRequest.mHead.Value("Attempt-Id") },
             { "Replica-Stamp", mId + ".0.1" } };
  }

  /// The number of times that the replica began to work on a request.
  int RunsOf(const std::string& aAttempt)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns[aAttempt];
  }

private:
  void Register()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mServer->HasCrashed()) {
      return;
    }
    mStore.Put("servers/" + mId,
               { { "service", mService },
                 { "address", Local(mServer->Port()) },
                 { "zone", "zg-a" },
                 { "version", "v1" },
                 { "slots", mSlots },
                 { "state", "ready" },
                 { "cold-left-ms",
                   static_cast<int>(std::max(0.0, mColdUntil - Now()) * 1000) },
                 { "born", mBorn },
                 { "seq-no", ++mNumber } });
  }

  void Serve(Connection& aConnection, const Request& aRequest)
  {
    const std::string expected = aRequest.mHead.Value("Expect-Replica");
    if (!expected.empty() && expected != mId) {
      SendAll(aConnection.mFd,
              ResponseText(421, "", { { "Replica-Id", mId } }));
      return;
    }
    if (aRequest.mMethod == "GET" && aRequest.mTarget == "/healthz") {
      SendAll(aConnection.mFd,
              ResponseText(200, "", { { "Replica-Id", mId } }));
      return;
    }
    const std::string attempt = aRequest.mHead.Value("Attempt-Id");
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      ++mRuns[attempt];
    }
    Record("run       " + mId + " attempt=" + attempt + " " + aRequest.mMethod +
           " " + aRequest.mTarget +
           " tenant=" + aRequest.mHead.Value("Tenant") +
           " model=" + aRequest.mHead.Value("Model") +
           " last-event=" + aRequest.mHead.Value("Last-Event-Id"));
    mScript(*this, aConnection, aRequest);
  }

  Store& mStore;
  std::string mService;
  std::string mId;
  int mSlots;
  Script mScript;
  std::int64_t mBorn = 0;
  int mNumber = 0;
  double mColdUntil = 0;
  std::mutex mMutex;
  std::map<std::string, int> mRuns;
  std::shared_ptr<Server> mServer;
  /// Threads may still use the servers of former lifetimes.
  inline static std::vector<std::shared_ptr<Server>> sServers;
};

/// Answers with success after the time.
inline Replica::Script AnswerAfter(double aSeconds)
{
  return [aSeconds](
           Replica& aSelf, Connection& aConnection, const Request& aRequest) {
    Sleep(aSeconds);
    SendAll(
      aConnection.mFd,
      ResponseText(200, "done by " + aSelf.Id(), aSelf.AnswerFields(aRequest)));
  };
}

// ----------------------------------------------------------------- processes

inline std::vector<pid_t> sProcesses;

/// A machine, whose process runs the command of the deploy file.
class Machine
{
public:
  Machine(std::string aName, std::string aFolder, int aStorePort)
    : mName(std::move(aName))
    , mFolder(std::move(aFolder))
  {
    mValues = { { "node-name", mName },
                { "ip", "127.0.0.1" },
                { "zone", "zg-a" },
                { "region", "hr-central" },
                { "limits.link-mbps", "1000.0" },
                { "limits.memory-mb", "110" },
                { "is-bootstrap", "false" },
                { "listen.front", Local(mFront) },
                { "listen.ready", Local(mReady) },
                { "listen.directory", Local(mDirectory) },
                { "inner-port-range.0", std::to_string(FreePort()) },
                { "platform.address", Local(aStorePort) },
                { "platform.ttl-min-ms", "1000" },
                { "bounds.grace-s", "8" },
                { "bounds.config-apply-ms", "2000" },
                { "bounds.drain-ms", "2000" },
                { "bounds.revoke-ms", "5000" },
                { "bounds.retry-budget-ratio", "0.9" },
                { "bounds.budget-window-s", "10" },
                { "bounds.retry-slack", "56" },
                { "bounds.ttl_max_s", "5" } };
    mMetrics = FreePort();
    WriteSettings();
  }

  int Front() const { return mFront; }
  int Ready() const { return mReady; }
  int Directory() const { return mDirectory; }
  pid_t Pid() const { return mPid; }
  const std::string& Name() const { return mName; }

  void Set(const std::string& aField, const std::string& aValue)
  {
    mValues[aField] = aValue;
  }

  /// Fills in platform/node.ini.template, as the platform does, and puts the
  /// result in place with a rename.
  void WriteSettings()
  {
    std::ifstream file("platform/node.ini.template");
    std::ostringstream whole;
    whole << file.rdbuf();
    std::string text = whole.str();
    if (text.empty()) {
      Exit(2, "platform/node.ini.template cannot be read");
    }
    for (const auto& [field, value] : mValues) {
      Replace(text, "{{" + field + "}}", value);
    }
    // The port of the metrics is fixed in the template; here several machines
    // share one address.
    Replace(text, "127.0.0.1:9464", Local(mMetrics));
    const std::string path = SettingsPath();
    std::ofstream(path + ".new", std::ios::trunc) << text;
    if (std::rename((path + ".new").c_str(), path.c_str()) != 0) {
      Exit(2, "the settings file cannot be written");
    }
  }

  std::string SettingsPath() const { return mFolder + "/" + mName + ".ini"; }

  void Start()
  {
    const std::string log = mFolder + "/" + mName + ".log";
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      setenv("ACACIAVALE_SETTINGS", SettingsPath().c_str(), 1);
      execl("target/platform/acaciavale-node",
            "target/platform/acaciavale-node",
            static_cast<char*>(nullptr));
      _exit(127);
    }
    sProcesses.push_back(mPid);
    Record("machine   " + mName + " starts");
  }

  void Signal(int aSignal, const std::string& aWhat)
  {
    kill(mPid, aSignal);
    Record("machine   " + mName + " gets " + aWhat);
  }

  void Kill()
  {
    Signal(SIGKILL, "SIGKILL");
    waitpid(mPid, nullptr, 0);
  }

  bool HasEnded() const { return waitpid(mPid, nullptr, WNOHANG) != 0; }

  bool IsReady() const;

private:
  static void Replace(std::string& aText,
                      const std::string& aOld,
                      const std::string& aNew)
  {
    for (std::size_t at = aText.find(aOld); at != std::string::npos;
         at = aText.find(aOld, at + aNew.size())) {
      aText.replace(at, aOld.size(), aNew);
    }
  }

  std::string mName;
  std::string mFolder;
  std::map<std::string, std::string> mValues;
  int mFront = FreePort();
  int mReady = FreePort();
  int mDirectory = FreePort();
  int mMetrics = 0;
  pid_t mPid = -1;
};

inline void Exit(int aCode, const std::string& aReason)
{
  Record("result    " + std::to_string(aCode) + ": " + aReason);
  std::printf("%d: %s\n", aCode, aReason.c_str());
  std::fflush(stdout);
  for (const pid_t process : sProcesses) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  _exit(aCode);
}

inline void OpenRecord(const std::string& aPath)
{
  signal(SIGPIPE, SIG_IGN);
  sRecord.open(aPath, std::ios::trunc);
  std::thread([] {
    Sleep(115);
    Exit(2, "the case took too long");
  }).detach();
}

// ------------------------------------------------------------------- clients

struct Answer
{
  int mStatus = 0; ///< 0: the connection ended without a complete answer.
  Head mHead;
  std::string mBody;
  bool mIsComplete = false;
  double mSeconds = 0;
};

/// Reads a response: with a length, in chunks, or up to the end.
inline Answer ReadAnswer(Connection& aConnection, double aUntil)
{
  Answer answer;
  const auto head = aConnection.ReceiveHead(aUntil);
  if (!head) {
    return answer;
  }
  answer.mHead = *head;
  answer.mStatus = std::atoi(head->mFirstLine.substr(9, 3).c_str());
  const std::string length = head->Value("Content-Length");
  if (!length.empty()) {
    answer.mIsComplete =
      aConnection.ReceiveBytes(std::stoul(length), answer.mBody, aUntil);
    return answer;
  }
  if (head->Has("Transfer-Encoding")) {
    for (;;) {
      std::size_t end;
      while ((end = aConnection.mReceived.find("\r\n")) == std::string::npos) {
        if (!aConnection.Receive(aUntil)) {
          return answer;
        }
      }
      const std::size_t size =
        std::stoul(aConnection.mReceived.substr(0, end), nullptr, 16);
      aConnection.mReceived.erase(0, end + 2);
      std::string chunk;
      if (!aConnection.ReceiveBytes(size + 2, chunk, aUntil)) {
        return answer;
      }
      if (size == 0) {
        answer.mIsComplete = true;
        return answer;
      }
      answer.mBody += chunk.substr(0, size);
    }
  }
  while (aConnection.Receive(aUntil)) {
  }
  answer.mBody = aConnection.mReceived;
  answer.mIsComplete = true;
  return answer;
}

inline std::string RequestText(
  const std::string& aMethod,
  const std::string& aTarget,
  const std::vector<std::pair<std::string, std::string>>& aFields,
  const std::string& aBody)
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/// Sends one request on a channel of its own and waits for the answer.
inline Answer Call(
  int aPort,
  const std::string& aMethod,
  const std::string& aTarget,
  const std::vector<std::pair<std::string, std::string>>& aFields,
  const std::string& aBody,
  double aSeconds)
{
  const double start = Now();
  Connection connection(ConnectTo(aPort));
  Answer answer;
  if (connection.mFd >= 0 &&
      SendAll(connection.mFd, RequestText(aMethod, aTarget, aFields, aBody))) {
    answer = ReadAnswer(connection, start + aSeconds);
  }
  answer.mSeconds = Now() - start;
  return answer;
}

inline bool Machine::IsReady() const
{
  return Call(mReady, "GET", "/api/readyz", { { "Host", "x" } }, "", 1)
           .mStatus == 200;
}

inline bool AwaitReady(const Machine& aMachine, double aSeconds)
{
  const double end = Now() + aSeconds;
  while (Now() < end) {
    if (aMachine.IsReady()) {
      return true;
    }
    Sleep(0.05);
  }
  return false;
}

inline bool HasTrouble()
{
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// Settings of the operator as in PROTOCOL.md: limits, one service for streams
/// and one for plain requests, and the given routes and tenants.
inline Json Config(std::int64_t aVersion, Json aRoutes, Json aTenants)
{
  return {
    { "version", aVersion },
    { "routes", std::move(aRoutes) },
    { "services",
      { { { "name", "records-api" },
          { "health-path", "/healthz" },
          { "max-conns", 110 },
          { "protocol", "h1" },
          { "tls", false } },
        { { "name", "model-pool" },
          { "health-path", "/healthz" },
          { "max-conns", 370 },
          { "protocol", "h1" },
          { "tls", false },
          { "engine",
            { { "slots", 64 },
              { "kv-capacity", 401511 },
              { "kv-token-bytes", 18432 },
              { "link-mbps", 130000.0 },
              { "models",
                { { { "name", "small" }, { "cost", 0.018 } },
                  { { "name", "middle" }, { "cost", 0.13 } },
                  { { "name", "large" }, { "cost", 0.27 } } } } } } } } },
    { "limits",
      { { "max-header-bytes", 16384 },
        { "max-body-bytes", 4194304 },
        { "header-timeout-ms", 3000 },
        { "idle-timeout-ms", 15000 } } },
    { "tenants", std::move(aTenants) }
  };
}

inline Json PlainRoute(const std::string& aName,
                       const std::string& aPrefix,
                       const std::string& aKind)
{
  return { { "name", aName },          { "host", "records.example" },
           { "path-prefix", aPrefix }, { "route-kind", aKind },
           { "timeout-ms", 1000 },     { "goal-ms", 100 },
           { "priority", 0 },          { "service", "records-api" },
           { "max-attempts", 3 },      { "public", false } };
}

inline Json Tenant(const std::string& aName, const std::string& aKey)
{
  return { { "name", aName },
           { "api-keys", Json::array({ aKey }) },
           { "priority", 0 } };
}

inline std::string AttemptId()
{
  static std::atomic<unsigned> sNumber{ 0 };
  char text[17];
  std::snprintf(text, sizeof(text), "9c41d07b%08x", ++sNumber);
  return text;
}

} // namespace Kit
