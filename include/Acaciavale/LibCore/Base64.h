#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Base64url (RFC 4648, section 5) without padding, for bytes inside JSON and
/// HTTP headers.
namespace Acaciavale {

std::string EncodeBase64Url(std::string_view aBytes);

/// Returns nothing for text that EncodeBase64Url cannot produce, so that no two
/// texts decode to the same bytes.
std::optional<std::string> DecodeBase64Url(std::string_view aText);

} // namespace Acaciavale
