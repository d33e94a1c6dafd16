#include "CommandOptions.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibSettings/SettingsParser.h>

#include <cstdio>
#include <iostream>
#include <string>

namespace Acaciavale {

int SettingsHashKey(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{ OutputOption() };
  const auto options = ParseOptions("settings hash-key", aArguments, specs);
  if (!options || !options->mOperands.empty()) {
    return ReportUsage("settings hash-key [OPTION…] < FILE", specs);
  }
  const auto json = WantsJson(*options);
  if (!json) {
    return kExitUsage;
  }
  // NOTE: The key is read from standard input, since other users of the machine
  //       can read the arguments of a process.
  std::string key;
  std::getline(std::cin, key);
  if (key.empty()) {
    std::fputs("acaciavale settings hash-key: no key on standard input\n",
               stderr);
    return kExitUsage;
  }
  Random random(EntropySeed());
  const std::string salt = RandomToken(random);
  const std::string hash = HashKey(salt, key);
  std::printf(*json ? "{\"key-salt\": \"%s\", \"key-hash\": \"%s\"}\n"
                    : "key-salt = %s\nkey-hash = %s\n",
              salt.c_str(),
              hash.c_str());
  return kExitDone;
}

} // namespace Acaciavale
