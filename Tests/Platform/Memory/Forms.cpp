#include "Forms.h"

#include <algorithm>

namespace Acaciavale::Memory {

namespace {

constexpr std::size_t kBytesPerWrite = 32U << 10;
/// Size of a head just below the limit on one, 16 KiB.
constexpr std::size_t kLargeHeadBytes = 16000;
/// Size of the short fields that are just below the limit on a parsed head.
constexpr std::size_t kMediumHeadBytes = 2500;
constexpr std::size_t kFillerBytes = 4096;
constexpr char kNumber[] = "NUMBER";

std::string Head(const std::string& aFields)
{
  return "HTTP/1.1 200 OK\r\nReplica-Stamp: stamp\r\n"
         "Attempt-Id: REQUEST-ID\r\n" +
         aFields;
}

std::string Bytes(std::size_t aCount, const std::string& aText)
{
  std::string bytes;
  while (bytes.size() < aCount) {
    bytes += aText;
  }
  return bytes;
}

/// Fields of the smallest size that fill a head.
std::string ShortFields()
{
  return Bytes(kLargeHeadBytes, "a:\r\n");
}

std::string Chunk(const std::string& aBytes)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string size;
  for (std::size_t left = aBytes.size(); left > 0; left /= 16) {
    size.insert(size.begin(), kDigits[left % 16]);
  }
  return size + "\r\n" + aBytes + "\r\n";
}

std::vector<Form> Heads()
{
  const std::string fields = ShortFields();
  const std::string fewer = Bytes(kMediumHeadBytes, "a:\r\n");
  const std::string filler = Bytes(kFillerBytes, "a");
  return {
    { "fewer-fields-then-silence", "look", Head(fewer + "\r\n"), "" },
    { "fewer-fields-then-body", "look", Head(fewer + "\r\n"), filler },
    { "fewer-fields-then-event", "chat", Head(fewer + "\r\ndata: "), filler },
    { "no-http", "look", "", filler },
    { "reason", "look", "HTTP/1.1 200 ", filler },
    { "field", "look", Head("X-Field: "), filler },
    { "short-fields", "look", Head(""), "a:\r\n" },
    { "short-fields-then-silence", "look", Head(fields + "\r\n"), "" },
    { "short-fields-then-body", "look", Head(fields + "\r\n"), filler },
    { "short-fields-then-chunks",
      "look",
      Head(fields + "Transfer-Encoding: chunked\r\n\r\n"),
      Chunk(filler) },
    { "short-fields-then-length",
      "look",
      Head(fields + "Content-Length: 4000000000000000000\r\n\r\n"),
      filler },
    { "short-fields-then-events",
      "chat",
      Head(fields + "\r\n"),
      "id: NUMBER\ndata: a\n\n" },
    { "short-fields-refused",
      "look",
      "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: REQUEST-ID\r\n" +
        fields + "\r\n",
      filler },
    { "interim-responses",
      "look",
      "",
      "HTTP/1.1 100 Continue\r\n" + fields + "\r\n" },
  };
}

std::vector<Form> Bodies()
{
  const std::string filler = Bytes(kFillerBytes, "a");
  const std::string chunked = Head("Transfer-Encoding: chunked\r\n\r\n");
  return {
    { "body-without-length", "look", Head("\r\n"), filler },
    { "body-with-length",
      "look",
      Head("Content-Length: 4000000000000000000\r\n\r\n"),
      filler },
    { "body-in-chunks", "look", chunked, Chunk(filler) },
    { "body-in-short-chunks", "look", chunked, Chunk("a") },
    { "chunk-header", "look", chunked + "1;", filler },
    { "trailer", "look", chunked + "0\r\nX-Field: ", filler },
    { "short-trailers", "look", chunked + "0\r\n", "a:\r\n" },
    { "bytes-behind", "look", Head("Content-Length: 1\r\n\r\na"), filler },
    { "heads-in-body", "look", Head("\r\n"), Head("\r\n") },
  };
}

std::vector<Form> Streams()
{
  const std::string filler = Bytes(kFillerBytes, "a");
  const std::string chunked = Head("Transfer-Encoding: chunked\r\n\r\n");
  const std::string event = "id: 1\ndata: a\n\n";
  return {
    { "event", "chat", Head("\r\ndata: "), filler },
    { "event-in-chunks", "chat", chunked + Chunk("data: "), Chunk(filler) },
    { "lines", "chat", Head("\r\n"), "data:\n" },
    { "comment", "chat", Head("\r\n:"), filler },
    { "comments", "chat", Head("\r\n"), ":\n\n" },
    { "blank-lines", "chat", Head("\r\n"), "\n\n" },
    { "comments-behind-event", "chat", Head("\r\n" + event), ":\n\n" },
    { "comments-in-chunks-behind-event",
      "chat",
      chunked + Chunk(event),
      Chunk(":" + filler + "\n\n") },
    { "event-behind-event", "chat", Head("\r\n" + event + "data: "), filler },
    { "short-events", "chat", Head("\r\n"), "id: NUMBER\n\n" },
    { "events", "chat", Head("\r\n"), "id: NUMBER\ndata: " + filler + "\n\n" },
    { "no-events", "chat", Head("\r\n"), "a\n\n" },
    { "heads-in-stream", "chat", Head("\r\n"), Head("\r\n") },
  };
}

std::vector<Form> Requests()
{
  const std::string head = "POST /look/x HTTP/1.1\r\nHost: records.example\r\n"
                           "Attempt-Id: REQUEST-ID\r\nDeadline-Ms: 3000\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler = Bytes(kFillerBytes, "a");
  const std::string fields = Bytes(kLargeHeadBytes - head.size(), "a:\r\n");
  return {
    { "caller-no-http", "", "", filler, true },
    { "caller-field", "", head + "X-Field: ", filler, true },
    { "caller-short-fields", "", head, "a:\r\n", true },
    { "caller-short-fields-then-silence", "", head + fields, "", true },
    { "caller-short-fields-whole",
      "",
      head + fields + "Content-Length: 0\r\n\r\n",
      "",
      true },
    { "caller-short-fields-then-chunks",
      "",
      head + fields + "Transfer-Encoding: chunked\r\n\r\n",
      Chunk("a"),
      true },
    { "caller-chunk-header", "", chunked + "1;", filler, true },
    { "caller-short-chunks", "", chunked, Chunk("a"), true },
    { "caller-chunks", "", chunked, Chunk(filler), true },
    { "caller-short-trailers", "", chunked + "0\r\n", "a:\r\n", true },
    { "caller-length",
      "",
      head + "Content-Length: 4000000\r\n\r\n",
      filler,
      true },
  };
}

} // namespace

std::vector<Form> AllForms()
{
  std::vector<Form> forms = Heads();
  for (const auto& more : { Bodies(), Streams(), Requests() }) {
    forms.insert(forms.end(), more.begin(), more.end());
  }
  return forms;
}

int RepetitionsPerWrite(const Form& aForm)
{
  return static_cast<int>(
    std::max<std::size_t>(1, kBytesPerWrite / aForm.mFiller.size()));
}

std::string FillerText(const Form& aForm, int aFirst)
{
  const std::size_t at = aForm.mFiller.find(kNumber);
  const std::string name = kNumber;
  std::string text;
  for (int number = 0; number < RepetitionsPerWrite(aForm); ++number) {
    text += at == std::string::npos
              ? aForm.mFiller
              : std::string(aForm.mFiller)
                  .replace(at, name.size(), std::to_string(aFirst + number));
  }
  return text;
}

} // namespace Acaciavale::Memory
