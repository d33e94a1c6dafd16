#include <Acaciavale/LibCore/Text.h>

#include <strings.h>

namespace Acaciavale {

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace Acaciavale
