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

// The functions below change one column of a row that has an unusual value
// there. Row() sets the columns that every row states.

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
  aRows.push_back(
    Row(kSection,
        "currency",
        Type::Name,
        "EUR",
        "The currency of all prices, which are stated in its millionths."));
  aRows.push_back(Row(kSection,
                      "request-deadline",
                      Type::Duration,
                      "60s",
                      "Maximum duration of a request to a model.",
                      0.01,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "entry-time-to-keep",
                      Type::Duration,
                      "10s",
                      "How long callers cache the list of entry addresses; a "
                      "draining VM keeps serving for that time.",
                      1,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "claim-retention",
                      Type::Duration,
                      "72h",
                      "How long the outcome of a non-repeatable call is kept.",
                      60,
                      90 * kSecondsPerDay));
  aRows.push_back(Row(kSection,
                      "isolated-serving",
                      Type::Duration,
                      "60s",
                      "How long a VM keeps serving while it reaches neither "
                      "the store nor any other VM.",
                      1,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "retry-budget",
                      Type::Share,
                      "0.1",
                      "Maximum retries, as a share of requests.",
                      0,
                      1));
  aRows.push_back(
    Row(kSection,
        "hedge-budget",
        Type::Share,
        "0.05",
        "Maximum hedged copies, as a share of repeatable look-ups.",
        0,
        1));
  aRows.push_back(Row(kSection,
                      "ejection-ceiling",
                      Type::Share,
                      "0.34",
                      "Maximum share of a pool's endpoints ejected at once.",
                      0,
                      1));
  aRows.push_back(Row(kSection,
                      "max-body",
                      Type::Bytes,
                      "1MiB",
                      "Maximum size of a request body.",
                      1,
                      kMaxBodyBytes));
  aRows.push_back(
    ForNewConnections(Row(kSection,
                          "max-connections",
                          Type::Integer,
                          "4096",
                          "Maximum number of callers' connections per VM.",
                          1,
                          kMaxCount)));
  aRows.push_back(Required(
    Row(kSection,
        "session-key",
        Type::Secret,
        "",
        "Key that signs session tokens; at least 32 hexadecimal digits.")));
  aRows.push_back(Row(kSection,
                      "old-session-key",
                      Type::Secret,
                      "",
                      "Previous session key, accepted during key rotation."));
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
                 "A serving version accepts all sessions, a retiring one only "
                 "its existing sessions, a withdrawn one no requests.")));
  aRows.push_back(Required(Row(kSection,
                               "input-price",
                               Type::Price,
                               "0micros/Mtok",
                               "Price of input tokens.",
                               0,
                               kMaxMicros)));
  aRows.push_back(Required(Row(kSection,
                               "output-price",
                               Type::Price,
                               "0micros/Mtok",
                               "Price of output tokens.",
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
                      "Number of ratings that the prior quality counts as.",
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
  aRows.push_back(
    Required(Row(Kind::Cascade,
                 "stages",
                 Type::StageList,
                 "",
                 "The models or versions to run in turn, cheapest first.")));
  aRows.push_back(Row(Kind::Cascade,
                      "accept-confidence",
                      Type::Share,
                      "0.8",
                      "Confidence below which the next stage runs.",
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
                     "The account section to inherit from, instead of the one "
                     "above it in the path.")));
  aRows.push_back(NotInherited(
    Row(kSection,
        "children-may-widen",
        Type::NameList,
        "",
        "Narrowed settings stated here that children may widen.")));
  aRows.push_back(NotInherited(
    Row(kSection, "key-salt", Type::Secret, "", "Salt of the caller's key.")));
  aRows.push_back(
    NotInherited(Row(kSection,
                     "key-hash",
                     Type::Secret,
                     "",
                     "SHA-256 of the salt's digits followed by the key.")));
  aRows.push_back(NotInherited(
    Row(kSection,
        "old-key-salt",
        Type::Secret,
        "",
        "Salt of the previous key, accepted during key rotation.")));
  aRows.push_back(NotInherited(Row(
    kSection, "old-key-hash", Type::Secret, "", "Hash of the previous key.")));
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
                 "Models and cascades that the account may request.")));
  aRows.push_back(
    Narrowed(Narrowing::Subset,
             Row(kSection,
                 "versions",
                 Type::NameList,
                 "",
                 "Versions that the account may use, as model/version; an "
                 "empty list allows all versions of its models.")));
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
  aRows.push_back(
    Narrowed(Narrowing::AtMost,
             Row(kSection,
                 "requests-per-second",
                 Type::Rate,
                 "100/s",
                 "Maximum requests per second over the whole deployment.",
                 0.001,
                 kMaxCount)));
  aRows.push_back(
    Narrowed(Narrowing::AtMost,
             Row(kSection,
                 "burst",
                 Type::Integer,
                 "200",
                 "Maximum number of requests in a burst above the rate.",
                 1,
                 kMaxCount)));
  aRows.push_back(Narrowed(
    Narrowing::AtMost,
    Row(kSection,
        "max-in-flight",
        Type::Integer,
        "200",
        "Maximum number of requests in flight over the whole deployment.",
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
                      "Price of one call.",
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
                      "Maximum duration of a call.",
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
  aRows.push_back(Required(Row(kSection,
                               "model",
                               Type::Name,
                               "",
                               "The model whose version is replaced.")));
  aRows.push_back(Required(
    Row(kSection, "from", Type::Name, "", "The version that is replaced.")));
  aRows.push_back(Required(
    Row(kSection, "to", Type::Name, "", "The version that replaces it.")));
  aRows.push_back(Row(kSection,
                      "steps",
                      Type::ShareList,
                      "0.01, 0.05, 0.25, 1",
                      "Share of new sessions at each step, increasing."));
  aRows.push_back(Row(kSection,
                      "paused",
                      Type::YesNo,
                      "no",
                      "Whether the roll-out stays at its current step."));
}

void AddRollout(std::vector<SettingRow>& aRows)
{
  constexpr Kind kSection = Kind::Rollout;
  AddRolloutPlan(aRows);
  aRows.push_back(Row(kSection,
                      "minimum-samples",
                      Type::Integer,
                      "200",
                      "Answers of the new version required to pass a step.",
                      1,
                      kMaxCount));
  aRows.push_back(
    Row(kSection,
        "exposure-budget",
        Type::Integer,
        "50",
        "Number of bad answers over the fleet that halts the roll-out.",
        1,
        kMaxCount));
  aRows.push_back(Row(kSection,
                      "max-error-increase",
                      Type::Share,
                      "0.02",
                      "Maximum increase in the share of failed answers.",
                      0,
                      1));
  aRows.push_back(Row(kSection,
                      "max-quality-drop",
                      Type::Share,
                      "0.02",
                      "Maximum drop in the share of good ratings.",
                      0,
                      1));
  aRows.push_back(
    Row(kSection,
        "max-latency-ratio",
        Type::Number,
        "1.3",
        "Maximum ratio of the latency to that of the replaced version.",
        1,
        100));
}

void AddObjective(std::vector<SettingRow>& aRows)
{
  constexpr Kind kSection = Kind::Objective;
  aRows.push_back(Row(
    kSection,
    "account",
    Type::Name,
    "",
    "The account that the objective applies to; all accounts if not stated."));
  aRows.push_back(
    Row(kSection,
        "model",
        Type::Name,
        "",
        "The model that the objective applies to; all models if not stated."));
  aRows.push_back(Row(kSection,
                      "availability",
                      Type::Share,
                      "0.999",
                      "Minimum share of requests that are answered.",
                      0,
                      0.999999));
  aRows.push_back(Row(kSection,
                      "first-token",
                      Type::Duration,
                      "1100ms",
                      "Maximum time to the first token.",
                      0.001,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "between-tokens",
                      Type::Duration,
                      "26ms",
                      "Maximum mean time between the tokens of an answer.",
                      0.0001,
                      kMaxSeconds));
  aRows.push_back(Row(kSection,
                      "latency-share",
                      Type::Share,
                      "0.95",
                      "Minimum share of answers that meet both times.",
                      0,
                      0.999999));
  aRows.push_back(Row(kSection,
                      "quality",
                      Type::Share,
                      "0.8",
                      "Minimum share of ratings that are good.",
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

/// Returns whether a section of kind aSection may state settings of kind aRow.
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
