#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsRecord.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Acaciavale {

/// The settings in force on this VM. Never steps back a generation, whoever
/// offers one. Thread-safe.
class SettingsHolder
{
public:
  SettingsHolder();
  ~SettingsHolder();
  SettingsHolder(const SettingsHolder&) = delete;
  SettingsHolder& operator=(const SettingsHolder&) = delete;

  /// The settings in force, or null before the first were taken.
  std::shared_ptr<const Settings> Current() const;
  std::int64_t Generation() const;
  /// The record in force for a peer that asks for this generation; empty where
  /// another generation is in force.
  std::string Record(std::int64_t aGeneration) const;
  /// The files and root in force, for the inspector; null before the first.
  std::shared_ptr<const StoredSettings> Stored() const;

  /// Takes a record, from the store or a peer, if it is newer than the one in
  /// force; returns whether it was taken. Invalid where its digests do not
  /// agree or it has findings; Conflict where it differs from the one in force
  /// under the same generation.
  ErrorOr<bool> Offer(std::int64_t aGeneration, const std::string& aRecord);
  ErrorOr<bool> Offer(const StoredSettings& aSettings);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
