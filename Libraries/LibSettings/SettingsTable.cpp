#include <Acaciavale/LibSettings/SettingsTable.h>

#include <algorithm>

namespace Acaciavale {

namespace {

constexpr double kMaxSeconds = 3600;
constexpr double kMaxCount = 1'000'000;
constexpr double kMaxMicros = 1e12;
constexpr double kSecondsPerDay = 86400;
constexpr double kMaxBodyBytes = 64.0 * (1 << 20);

using Kind = SectionKind;
using Type = SettingType;

/// Changes of a row after its plain columns, so that each row stays short.
SettingRow Required(SettingRow aRow)
{
  aRow.mRequired = true;
  return aRow;
}

SettingRow NotInherited(SettingRow aRow)
{
  aRow.mInherited = false;
  return aRow;
}

SettingRow Narrowed(Narrowing aNarrowing, SettingRow aRow)
{
  aRow.mNarrowing = aNarrowing;
  return aRow;
}

SettingRow ForNewConnections(SettingRow aRow)
{
  aRow.mTakesEffect = TakesEffect::NewConnections;
  return aRow;
}

SettingRow Row(Kind aKind,
               const char* aName,
               Type aType,
               const char* aDefault,
               const char* aDescription,
               double aMinimum = 0,
               double aMaximum = 0)
{
  SettingRow row;
  row.mKind = aKind;
  row.mName = aName;
  row.mType = aType;
  row.mDefault = aDefault;
  row.mDescription = aDescription;
  row.mMinimum = aMinimum;
  row.mMaximum = aMaximum;
  return row;
}

void AddDeployment(std::vector<SettingRow>& aRows)
{
  constexpr Kind kSection = Kind::Deployment;
  aRows.push_back(Required(Row(
    kSection, "name", Type::Name, "", "The deployment's name, for reports.")));
  aRows.push_back(Row(kSection,
                      "currency",
                      Type::Name,
                      "EUR",
                      "The currency whose millionths prices are stated in."));
  aRows.push_back(Row(kSection,
                      "request-deadline",
                      Type::Duration,
                      "60s",
                      "How long a request to a model may take.",
                      0.01,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "entry-time-to-keep",
                      Type::Duration,
                      "10s",
                      "How long callers keep the list of entry addresses; a "
                      "draining VM serves on for that time.",
                      1,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "claim-retention",
                      Type::Duration,
                      "72h",
                      "How long the outcome of a call that may not be "
                      "repeated is kept.",
                      60,
                      90 * kSecondsPerDay));
  aRows.push_back(Row(kSection,
                      "isolated-serving",
                      Type::Duration,
                      "60s",
                      "How long a VM serves that hears neither the store nor "
                      "any other VM.",
                      1,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "retry-budget",
                      Type::Share,
                      "0.1",
                      "Retries as a share of requests, at most.",
                      0,
                      1));
  aRows.push_back(Row(kSection,
                      "hedge-budget",
                      Type::Share,
                      "0.05",
                      "Hedged copies as a share of repeatable look-ups, at "
                      "most.",
                      0,
                      1));
  aRows.push_back(Row(kSection,
                      "ejection-ceiling",
                      Type::Share,
                      "0.34",
                      "Share of a pool's endpoints that may be ejected at "
                      "once.",
                      0,
                      1));
  aRows.push_back(Row(kSection,
                      "max-body",
                      Type::Bytes,
                      "1MiB",
                      "The largest body of a request.",
                      1,
                      kMaxBodyBytes));
  aRows.push_back(ForNewConnections(Row(kSection,
                                        "max-connections",
                                        Type::Integer,
                                        "4096",
                                        "Callers' connections per VM.",
                                        1,
                                        kMaxCount)));
  aRows.push_back(
    Required(Row(kSection,
                 "session-key",
                 Type::Secret,
                 "",
                 "Key that signs session tokens, 32 digits or more.")));
  aRows.push_back(Row(kSection,
                      "old-session-key",
                      Type::Secret,
                      "",
                      "Key that is accepted too while keys are changed."));
}

void AddVersion(std::vector<SettingRow>& aRows)
{
  constexpr Kind kSection = Kind::Version;
  aRows.push_back(
    Narrowed(Narrowing::SameOrLater,
             Row(kSection,
                 "state",
                 Type::VersionState,
                 "serving",
                 "serving takes all work, retiring only the sessions that it "
                 "has, withdrawn none.")));
  aRows.push_back(Required(Row(kSection,
                               "input-price",
                               Type::Price,
                               "0micros/Mtok",
                               "Price of the tokens that go in.",
                               0,
                               kMaxMicros)));
  aRows.push_back(Required(Row(kSection,
                               "output-price",
                               Type::Price,
                               "0micros/Mtok",
                               "Price of the tokens that come out.",
                               0,
                               kMaxMicros)));
  aRows.push_back(Row(kSection,
                      "prior-quality",
                      Type::Share,
                      "0.5",
                      "Share of good answers expected before any rating.",
                      0,
                      1));
  aRows.push_back(Row(kSection,
                      "prior-weight",
                      Type::Integer,
                      "20",
                      "Ratings that the prior quality counts for.",
                      1,
                      kMaxCount));
  aRows.push_back(Row(kSection,
                      "first-token",
                      Type::Duration,
                      "0ms",
                      "Expected time to the first token.",
                      0,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "per-token",
                      Type::Duration,
                      "0ms",
                      "Expected time between tokens.",
                      0,
                      kMaxSeconds));
}

void AddModelAndCascade(std::vector<SettingRow>& aRows)
{
  aRows.push_back(Row(Kind::Model,
                      "may-be-empty",
                      Type::YesNo,
                      "no",
                      "Whether accounts and cascades may be left with no "
                      "serving version of the model; their requests are "
                      "refused then."));
  AddVersion(aRows);
  aRows.push_back(Required(Row(Kind::Cascade,
                               "stages",
                               Type::StageList,
                               "",
                               "The stages, cheapest first.")));
  aRows.push_back(Row(Kind::Cascade,
                      "accept-confidence",
                      Type::Share,
                      "0.8",
                      "Below this confidence the next stage runs.",
                      0,
                      1));
}

void AddAccountInheritanceAndKeys(std::vector<SettingRow>& aRows)
{
  constexpr Kind kSection = Kind::Account;
  aRows.push_back(
    NotInherited(Row(kSection,
                     "inherits",
                     Type::NameList,
                     "",
                     "The account section to inherit from, in place of "
                     "the one that the path names.")));
  aRows.push_back(
    NotInherited(Row(kSection,
                     "children-may-widen",
                     Type::NameList,
                     "",
                     "Settings stated here that children may widen.")));
  aRows.push_back(NotInherited(
    Row(kSection, "key-salt", Type::Secret, "", "Salt of the caller's key.")));
  aRows.push_back(
    NotInherited(Row(kSection,
                     "key-hash",
                     Type::Secret,
                     "",
                     "SHA-256 of the salt's digits and the key.")));
  aRows.push_back(
    NotInherited(Row(kSection,
                     "old-key-salt",
                     Type::Secret,
                     "",
                     "Salt of the key that is accepted too while keys "
                     "are changed.")));
  aRows.push_back(NotInherited(
    Row(kSection, "old-key-hash", Type::Secret, "", "Hash of that key.")));
}

void AddAccount(std::vector<SettingRow>& aRows)
{
  constexpr Kind kSection = Kind::Account;
  AddAccountInheritanceAndKeys(aRows);
  aRows.push_back(
    Narrowed(Narrowing::Subset,
             Row(kSection,
                 "models",
                 Type::NameList,
                 "",
                 "Models and cascades that the account may name.")));
  aRows.push_back(Narrowed(Narrowing::Subset,
                           Row(kSection,
                               "versions",
                               Type::NameList,
                               "",
                               "Versions that it may reach, as model/version; "
                               "none stated allows all of its models.")));
  aRows.push_back(Narrowed(Narrowing::Subset,
                           Row(kSection,
                               "services",
                               Type::NameList,
                               "",
                               "Plain services that the account may call.")));
  aRows.push_back(Row(kSection,
                      "quality-target",
                      Type::Share,
                      "0.8",
                      "Share of good answers that routing must meet.",
                      0,
                      1));
  aRows.push_back(Narrowed(Narrowing::AtMost,
                           Row(kSection,
                               "requests-per-second",
                               Type::Rate,
                               "100/s",
                               "Requests a second over the whole deployment.",
                               0.001,
                               kMaxCount)));
  aRows.push_back(Narrowed(Narrowing::AtMost,
                           Row(kSection,
                               "burst",
                               Type::Integer,
                               "200",
                               "Requests at once above the rate.",
                               1,
                               kMaxCount)));
  aRows.push_back(Narrowed(Narrowing::AtMost,
                           Row(kSection,
                               "max-in-flight",
                               Type::Integer,
                               "200",
                               "Requests in flight over the whole deployment.",
                               1,
                               kMaxCount)));
  aRows.push_back(
    Narrowed(Narrowing::SameOrLater,
             Row(kSection,
                 "priority",
                 Type::Priority,
                 "interactive",
                 "Scheduling class of the account's requests to models.")));
}

void AddService(std::vector<SettingRow>& aRows)
{
  aRows.push_back(Row(Kind::Service,
                      "price-per-call",
                      Type::Amount,
                      "0micros",
                      "What one call is billed at.",
                      0,
                      kMaxMicros));
  constexpr Kind kSection = Kind::Route;
  aRows.push_back(NotInherited(Required(
    Row(kSection, "method", Type::Name, "", "HTTP method, in capitals."))));
  aRows.push_back(
    NotInherited(Required(Row(kSection,
                              "path",
                              Type::Text,
                              "",
                              "Path under the service; a '*' at its end "
                              "matches the rest."))));
  aRows.push_back(Row(kSection,
                      "repeatable",
                      Type::YesNo,
                      "no",
                      "Whether a call may be sent twice."));
  aRows.push_back(Row(kSection,
                      "deadline",
                      Type::Duration,
                      "5s",
                      "How long a call may take.",
                      0.001,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "priority",
                      Type::Priority,
                      "interactive",
                      "Scheduling class of the calls."));
}

void AddRolloutPlan(std::vector<SettingRow>& aRows)
{
  constexpr Kind kSection = Kind::Rollout;
  aRows.push_back(
    Required(Row(kSection, "model", Type::Name, "", "The model concerned.")));
  aRows.push_back(Required(
    Row(kSection, "from", Type::Name, "", "The version that is replaced.")));
  aRows.push_back(
    Required(Row(kSection, "to", Type::Name, "", "The version that comes.")));
  aRows.push_back(Row(kSection,
                      "steps",
                      Type::ShareList,
                      "0.01, 0.05, 0.25, 1",
                      "Share of new sessions at each step."));
  aRows.push_back(Row(kSection,
                      "paused",
                      Type::YesNo,
                      "no",
                      "Whether the roll-out stands where it is."));
}

void AddRollout(std::vector<SettingRow>& aRows)
{
  constexpr Kind kSection = Kind::Rollout;
  AddRolloutPlan(aRows);
  aRows.push_back(Row(kSection,
                      "minimum-samples",
                      Type::Integer,
                      "200",
                      "Answers of the new version before a step is passed.",
                      1,
                      kMaxCount));
  aRows.push_back(Row(kSection,
                      "exposure-budget",
                      Type::Integer,
                      "50",
                      "Bad answers over the fleet that halt the roll-out.",
                      1,
                      kMaxCount));
  aRows.push_back(Row(kSection,
                      "max-error-increase",
                      Type::Share,
                      "0.02",
                      "Further share of failed answers that is borne.",
                      0,
                      1));
  aRows.push_back(Row(kSection,
                      "max-quality-drop",
                      Type::Share,
                      "0.02",
                      "Loss in the share of good ratings that is borne.",
                      0,
                      1));
  aRows.push_back(Row(kSection,
                      "max-latency-ratio",
                      Type::Number,
                      "1.3",
                      "Latency against the version replaced, at most.",
                      1,
                      100));
}

void AddObjective(std::vector<SettingRow>& aRows)
{
  constexpr Kind kSection = Kind::Objective;
  aRows.push_back(Row(kSection,
                      "account",
                      Type::Name,
                      "",
                      "The account that it is for; none stated is all."));
  aRows.push_back(Row(kSection,
                      "model",
                      Type::Name,
                      "",
                      "The model that it is for; none stated is all."));
  aRows.push_back(Row(kSection,
                      "availability",
                      Type::Share,
                      "0.999",
                      "Share of requests answered.",
                      0,
                      0.999999));
  aRows.push_back(Row(kSection,
                      "first-token",
                      Type::Duration,
                      "1100ms",
                      "The first token comes within this time.",
                      0.001,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "between-tokens",
                      Type::Duration,
                      "26ms",
                      "The mean time between an answer's tokens is within "
                      "this time.",
                      0.0001,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "latency-share",
                      Type::Share,
                      "0.95",
                      "Share of answers that keep the two times.",
                      0,
                      0.999999));
  aRows.push_back(Row(kSection,
                      "quality",
                      Type::Share,
                      "0.8",
                      "Share of ratings that are good.",
                      0,
                      0.999999));
}

std::vector<SettingRow> MakeTable()
{
  std::vector<SettingRow> rows;
  AddDeployment(rows);
  AddModelAndCascade(rows);
  AddAccount(rows);
  AddService(rows);
  AddRollout(rows);
  AddObjective(rows);
  return rows;
}

/// Whether a section of the first kind may state the second kind's settings.
bool MayState(Kind aSection, Kind aRow)
{
  return aSection == aRow ||
         (aSection == Kind::Model && aRow == Kind::Version) ||
         (aSection == Kind::Service && aRow == Kind::Route);
}

} // namespace

const std::vector<SettingRow>& SettingsTable()
{
  static const std::vector<SettingRow> sTable = MakeTable();
  return sTable;
}

const std::vector<SectionKind>& AllSectionKinds()
{
  static const std::vector<SectionKind> sKinds{
    Kind::Deployment, Kind::Model, Kind::Version, Kind::Cascade,  Kind::Account,
    Kind::Service,    Kind::Route, Kind::Rollout, Kind::Objective
  };
  return sKinds;
}

std::string NameOf(SectionKind aKind)
{
  switch (aKind) {
    case Kind::Deployment:
      return "deployment";
    case Kind::Model:
      return "model";
    case Kind::Version:
      return "version";
    case Kind::Cascade:
      return "cascade";
    case Kind::Account:
      return "account";
    case Kind::Service:
      return "service";
    case Kind::Route:
      return "route";
    case Kind::Rollout:
      return "rollout";
    case Kind::Objective:
      return "objective";
  }
  return "";
}

std::optional<SectionKind> ParseSectionKind(const std::string& aName)
{
  for (const Kind kind : AllSectionKinds()) {
    if (NameOf(kind) == aName) {
      return kind;
    }
  }
  return std::nullopt;
}

std::vector<SettingRow> AllowedRows(SectionKind aSection)
{
  std::vector<SettingRow> rows;
  for (const SettingRow& row : SettingsTable()) {
    if (MayState(aSection, row.mKind)) {
      rows.push_back(row);
    }
  }
  return rows;
}

std::optional<SettingRow> FindRow(SectionKind aSection,
                                  const std::string& aName)
{
  for (const SettingRow& row : SettingsTable()) {
    if (MayState(aSection, row.mKind) && row.mName == aName) {
      return row;
    }
  }
  return std::nullopt;
}

} // namespace Acaciavale
