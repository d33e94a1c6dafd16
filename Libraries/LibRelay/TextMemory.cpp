#include "TextMemory.h"

#include <utility>

namespace Acaciavale::Relay {

namespace {

constexpr std::size_t kStepBytes = 16U << 10;

} // namespace

void ReserveExactly(std::string& aText, std::size_t aCapacity)
{
  if (aCapacity <= aText.capacity()) {
    return;
  }
  std::string grown;
  grown.reserve(aCapacity);
  grown += aText;
  aText = std::move(grown);
}

void AppendInSteps(std::string& aText, std::string_view aBytes)
{
  const std::size_t size = aText.size() + aBytes.size();
  if (size > kStepBytes) {
    ReserveExactly(aText, (size + kStepBytes - 1) / kStepBytes * kStepBytes);
  }
  aText += aBytes;
}

} // namespace Acaciavale::Relay
