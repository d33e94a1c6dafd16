#include "ServeCommand.h"

#include "CommandOptions.h"

#include <Acaciavale/LibServer/Server.h>
#include <Acaciavale/LibSettings/SettingsFiles.h>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <thread>

namespace Acaciavale {

namespace {

const std::vector<OptionSpec>& OptionSpecs()
{
  static const std::vector<OptionSpec> sSpecs{
    { "config", "FILE", "INI file of this process: addresses, failure domain" },
    { "settings",
      "FILE",
      "for trials, use this settings file instead of the store's settings" },
    { "announce", "FILE", "write the bound addresses to this file" }
  };
  return sSpecs;
}

std::optional<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    std::fprintf(stderr, "acaciavale: cannot read %s\n", aPath.c_str());
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Prints the findings; returns whether there are none.
bool PrintFindings(const Findings& aFindings)
{
  for (const Finding& finding : aFindings) {
    std::fprintf(stderr, "%s\n", Describe(finding).c_str());
  }
  return aFindings.empty();
}

/// Loads the settings from a file and the files that it includes. Prints the
/// findings and returns nothing if the settings are invalid.
std::optional<Settings> LoadSettings(const std::string& aPath)
{
  LoadedSettingsFiles loaded = LoadSettingsFiles({ aPath });
  if (!PrintFindings(loaded.mFindings)) {
    return std::nullopt;
  }
  SettingsResult parsed = ParseSettings(loaded.mFiles);
  PrintFindings(parsed.mFindings);
  return std::move(parsed.mSettings);
}

/// Raises the soft limit on open files to the hard limit: each stream uses two
/// sockets, and each other VM two more.
void RaiseOpenFileLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    (void)setrlimit(RLIMIT_NOFILE, &limit);
  }
}

/// Starts a thread that requests a graceful stop on SIGTERM or SIGINT. A second
/// signal has no further effect.
void HandleStopSignals(Server& aServer, sigset_t aSignals)
{
  std::thread([&aServer, aSignals] {
    for (;;) {
      int signal = 0;
      sigwait(&aSignals, &signal);
      aServer.RequestStop();
    }
  }).detach();
}

int Serve(const std::vector<std::string>& aArguments)
{
  const auto commandLine = ParseOptions("serve", aArguments, OptionSpecs());
  if (!commandLine) {
    return kExitUsage;
  }
  const std::string configName = commandLine->Value("config");
  const auto config = ReadFile(configName);
  if (!config) {
    return kExitUsage;
  }
  const NodeSettingsResult node = ParseNodeSettings(configName, *config);
  if (!PrintFindings(node.mFindings)) {
    return kExitFindings;
  }
  ServerOptions options;
  options.mNodeSettings = *node.mSettings;
  options.mAnnounceFile = commandLine->Value("announce");
  if (commandLine->Has("settings")) {
    options.mFixedSettings = LoadSettings(commandLine->Value("settings"));
    if (!options.mFixedSettings) {
      return kExitFindings;
    }
  }
  RaiseOpenFileLimit();
  ConfigureLog(options.mNodeSettings.mLogLevel,
               options.mNodeSettings.mLogFormat);
  // The stop signals are blocked before any thread starts, so that only the
  // thread started by HandleStopSignals receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Server server(std::move(options));
  if (const auto started = server.Start(); !started) {
    std::fprintf(stderr, "acaciavale: %s\n", started.error().mMessage.c_str());
    return kExitNotReachable;
  }
  HandleStopSignals(server, signals);
  server.WaitUntilStopped();
  return kExitDone;
}

} // namespace

Command ServeCommand()
{
  return Command{ "serve",
                  "Serve callers until SIGTERM, then stop gracefully.",
                  OptionsHelp("serve --config FILE", OptionSpecs()),
                  &Serve };
}

} // namespace Acaciavale
