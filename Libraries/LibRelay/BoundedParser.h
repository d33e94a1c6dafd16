#pragma once

#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>

namespace Acaciavale::Relay {

/// Maximum size in bytes of a field's name and of its value. Beast 1.74 counts
/// them in 16 bits, with two bytes of its own, and throws above that.
constexpr std::size_t kMaximumFieldBytes =
  std::numeric_limits<std::uint16_t>::max() - 3;

/// Memory in bytes that a field needs besides its text: the library's node and
/// the allocator's share.
constexpr std::size_t kFieldOverheadBytes = 96;

/// A parser that applies one limit to the head and to a request's trailer, and
/// reports http::error::header_limit before it copies a field that is too
/// large, or that would make the parsed fields need too much memory. Trailers
/// of responses are not kept, as they are not passed on.
template<bool kIsRequest, typename Body>
class BoundedParser final : public boost::beast::http::parser<kIsRequest, Body>
{
public:
  /// aMaximumSectionBytes limits the head and a request's trailer, each
  /// on its own.
  explicit BoundedParser(std::uint32_t aMaximumSectionBytes)
    : mMaximumSectionBytes(aMaximumSectionBytes)
  {
    this->header_limit(aMaximumSectionBytes);
  }

  /// Limits the memory of all fields to aBytes. If the fields need more,
  /// aMayNeed is asked each time whether they may need as many bytes as it is
  /// called with.
  void LimitMemory(std::size_t aBytes,
                   std::function<bool(std::size_t)> aMayNeed = {})
  {
    mAllowedBytes = aBytes;
    mMayNeed = std::move(aMayNeed);
  }

  /// Memory that the fields need that were parsed so far.
  std::size_t ParsedBytes() const { return mParsedBytes; }

  /// Whether a field was refused because the fields need too much memory.
  bool IsMemoryExceeded() const { return mParsedBytes > mAllowedBytes; }

  /// Size of the longest name or value that was refused; 0: none was.
  std::size_t RefusedFieldBytes() const { return mRefusedFieldBytes; }

private:
  void on_field_impl(boost::beast::http::field aField,
                     boost::beast::string_view aName,
                     boost::beast::string_view aValue,
                     boost::system::error_code& aError) override
  {
    if constexpr (!kIsRequest) {
      if (this->is_header_done()) {
        return;
      }
    }
    // NOTE: Beast applies its limit to the head only, and to what it has not
    //       parsed yet.
    if (this->is_header_done() != mIsInTrailer) {
      mIsInTrailer = true;
      mSectionBytes = 0;
    }
    mSectionBytes += aName.size() + aValue.size() + kFieldPunctuationBytes;
    const std::size_t longest = std::max(aName.size(), aValue.size());
    if (longest > kMaximumFieldBytes) {
      mRefusedFieldBytes = longest;
    }
    if (mSectionBytes > mMaximumSectionBytes || mRefusedFieldBytes > 0 ||
        !MayHold(aName.size() + aValue.size() + kFieldOverheadBytes)) {
      aError = boost::beast::http::error::header_limit;
      return;
    }
    this->get().insert(aField, aName, aValue);
  }

  /// Whether the fields may need so many bytes more.
  bool MayHold(std::size_t aAddedBytes)
  {
    mParsedBytes += aAddedBytes;
    if (mParsedBytes > mAllowedBytes && mMayNeed) {
      const std::size_t bytes = mParsedBytes + kMemoryStepBytes;
      mAllowedBytes = mMayNeed(bytes) ? bytes : mAllowedBytes;
    }
    return mParsedBytes <= mAllowedBytes;
  }

  /// The colon and the end of the line.
  static constexpr std::size_t kFieldPunctuationBytes = 3;
  static constexpr std::size_t kMemoryStepBytes = 8U << 10;

  std::size_t mMaximumSectionBytes;
  std::size_t mAllowedBytes = std::numeric_limits<std::size_t>::max();
  std::function<bool(std::size_t)> mMayNeed;
  std::size_t mParsedBytes = 0;
  std::size_t mSectionBytes = 0;
  std::size_t mRefusedFieldBytes = 0;
  bool mIsInTrailer = false;
};

} // namespace Acaciavale::Relay
