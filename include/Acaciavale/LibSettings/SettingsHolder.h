#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsRecord.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Acaciavale {

/// The settings in force on this VM. The generation never decreases.
/// Thread-safe.
class SettingsHolder
{
public:
  SettingsHolder();
  ~SettingsHolder();
  SettingsHolder(const SettingsHolder&) = delete;
  SettingsHolder& operator=(const SettingsHolder&) = delete;

  /// Returns the settings in force, or null before the first are accepted.
  std::shared_ptr<const Settings> Current() const;
  std::int64_t Generation() const;
  /// Returns the serialised record of this generation, to be sent to a peer;
  /// empty if another generation is in force.
  std::string Record(std::int64_t aGeneration) const;
  /// Returns the files and root in force, for the operator pages; null before
  /// the first are accepted.
  std::shared_ptr<const StoredSettings> Stored() const;

  /// Accepts a record from the store or a peer if it is newer than the one in
  /// force; returns whether it was accepted. Fails with Invalid if its digests
  /// do not match or its settings have findings, and with Conflict if another
  /// record of the same generation is in force.
  ErrorOr<bool> Offer(std::int64_t aGeneration, const std::string& aRecord);
  ErrorOr<bool> Offer(const StoredSettings& aSettings);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
