#include "DigestCodec.h"
#include "DigestMessages.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace Acaciavale {

namespace {

constexpr std::uint32_t kDrainingFlag = 1;
constexpr std::uint32_t kStoreUnreachableFlag = 2;
constexpr std::uint32_t kLeftFlag = 4;
constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr std::size_t kRequestIdHexDigits = 32;
constexpr char kHexDigits[] = "0123456789abcdef";

/// Extends a 64-bit FNV-1a hash by the text.
std::uint64_t HashInto(std::uint64_t aHash, const std::string& aText)
{
  for (const char character : aText) {
    aHash ^= static_cast<unsigned char>(character);
    aHash *= kFnvPrime;
  }
  return aHash;
}

std::uint32_t MakeFlags(bool aDraining, bool aStoreReachable, bool aLeft)
{
  return (aDraining ? kDrainingFlag : 0) |
         (aStoreReachable ? 0 : kStoreUnreachableFlag) |
         (aLeft ? kLeftFlag : 0);
}

std::uint32_t ClampToUint32(std::int64_t aValue)
{
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(aValue, 0, kMax));
}

void Write(const VmDescription& aVm, PeerMessages::VmDescription& aMessage)
{
  const VmState& state = aVm.mState;
  aMessage.set_name(state.mName);
  aMessage.set_incarnation(state.mIncarnation);
  aMessage.set_caller_address(state.mCallerAddress);
  aMessage.set_peer_address(state.mPeerAddress);
  aMessage.set_operator_address(state.mOperatorAddress);
  aMessage.set_failure_domain(state.mFailureDomain);
  aMessage.set_weight(state.mWeight);
  aMessage.set_flags(
    MakeFlags(state.mDraining, state.mStoreReachable, aVm.mLeft));
  aMessage.set_in_flight(state.mInFlight);
  aMessage.set_settings_generation(state.mSettingsGeneration);
  aMessage.set_heartbeat(state.mHeartbeat);
}

void Write(const EvidenceUpdate& aUpdate,
           PeerMessages::EvidenceRumour& aMessage)
{
  aMessage.set_origin(aUpdate.mOrigin);
  aMessage.set_sequence(aUpdate.mSequence);
  for (const auto& [key, cell] : aUpdate.mCells) {
    auto& item = *aMessage.add_cells();
    item.set_model(key.mModel);
    item.set_version(key.mVersion);
    item.set_kind(key.mKind);
    item.set_rated(static_cast<float>(cell.mRated));
    item.set_good(static_cast<float>(cell.mGood));
    item.set_answers(static_cast<float>(cell.mAnswers));
    item.set_errors(static_cast<float>(cell.mErrors));
    item.set_escalations(static_cast<float>(cell.mEscalations));
    item.set_first_token_seconds(static_cast<float>(cell.mFirstTokenSeconds));
    item.set_output_tokens(static_cast<float>(cell.mOutputTokens));
  }
}

bool FitsNameLimit(const std::string& aText)
{
  return aText.size() <= kMaxNameBytes;
}

ErrorOr<VmDescription> Read(const PeerMessages::VmDescription& aMessage)
{
  const bool validNames = !aMessage.name().empty() &&
                          FitsNameLimit(aMessage.name()) &&
                          FitsNameLimit(aMessage.incarnation()) &&
                          FitsNameLimit(aMessage.caller_address()) &&
                          FitsNameLimit(aMessage.peer_address()) &&
                          FitsNameLimit(aMessage.operator_address()) &&
                          FitsNameLimit(aMessage.failure_domain());
  if (!validNames || aMessage.settings_generation() < 0 ||
      aMessage.weight() < 0 || aMessage.in_flight() < 0) {
    return MakeError(ErrorCode::Invalid,
                     "VM description has a missing name, an overlong text or a "
                     "negative number.");
  }
  VmDescription vm;
  vm.mState.mName = aMessage.name();
  vm.mState.mIncarnation = aMessage.incarnation();
  vm.mState.mCallerAddress = aMessage.caller_address();
  vm.mState.mPeerAddress = aMessage.peer_address();
  vm.mState.mOperatorAddress = aMessage.operator_address();
  vm.mState.mFailureDomain = aMessage.failure_domain();
  vm.mState.mWeight = aMessage.weight();
  vm.mState.mDraining = (aMessage.flags() & kDrainingFlag) != 0;
  vm.mState.mStoreReachable = (aMessage.flags() & kStoreUnreachableFlag) == 0;
  vm.mState.mInFlight = aMessage.in_flight();
  vm.mState.mSettingsGeneration = aMessage.settings_generation();
  vm.mState.mHeartbeat = aMessage.heartbeat();
  vm.mLeft = (aMessage.flags() & kLeftFlag) != 0;
  return vm;
}

bool IsFiniteNonNegative(float aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

bool IsValidCell(const PeerMessages::EvidenceCellMessage& aMessage)
{
  return FitsNameLimit(aMessage.model()) && FitsNameLimit(aMessage.version()) &&
         FitsNameLimit(aMessage.kind()) &&
         IsFiniteNonNegative(aMessage.rated()) &&
         IsFiniteNonNegative(aMessage.good()) &&
         IsFiniteNonNegative(aMessage.answers()) &&
         IsFiniteNonNegative(aMessage.errors()) &&
         IsFiniteNonNegative(aMessage.escalations()) &&
         IsFiniteNonNegative(aMessage.first_token_seconds()) &&
         IsFiniteNonNegative(aMessage.output_tokens());
}

ErrorOr<EvidenceUpdate> Read(const PeerMessages::EvidenceRumour& aMessage)
{
  if (aMessage.cells_size() > kMaxCellsPerUpdate) {
    return MakeError(ErrorCode::Invalid, "Evidence update has too many cells.");
  }
  EvidenceUpdate update{ aMessage.origin(), aMessage.sequence(), {} };
  for (const auto& item : aMessage.cells()) {
    if (!IsValidCell(item)) {
      return MakeError(
        ErrorCode::Invalid,
        "Evidence cell has a name that is too long or an invalid count.");
    }
    EvidenceCell& cell =
      update.mCells[{ item.model(), item.version(), item.kind() }];
    cell.mRated = item.rated();
    cell.mGood = item.good();
    cell.mAnswers = item.answers();
    cell.mErrors = item.errors();
    cell.mEscalations = item.escalations();
    cell.mFirstTokenSeconds = item.first_token_seconds();
    cell.mOutputTokens = item.output_tokens();
  }
  return update;
}

ErrorOr<std::vector<DigestRow>> ReadRows(
  const PeerMessages::DigestMessage& aMessage)
{
  const int count = aMessage.ids_size();
  const bool sameSize = aMessage.heartbeats_size() == count &&
                        aMessage.in_flights_size() == count &&
                        aMessage.flags_size() == count &&
                        aMessage.generation_lags_size() == count;
  if (!sameSize || count > kMaxRowsPerDigest || aMessage.top_generation() < 0) {
    return MakeError(ErrorCode::Invalid,
                     "Row lists of a digest differ in length, are too long or "
                     "have a negative generation.");
  }
  std::vector<DigestRow> rows;
  rows.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    DigestRow row;
    row.mId = aMessage.ids(index);
    row.mHeartbeat = aMessage.heartbeats(index);
    row.mInFlight = aMessage.in_flights(index);
    row.mSettingsGeneration = std::max<std::int64_t>(
      0, aMessage.top_generation() - aMessage.generation_lags(index));
    row.mDraining = (aMessage.flags(index) & kDrainingFlag) != 0;
    row.mStoreReachable = (aMessage.flags(index) & kStoreUnreachableFlag) == 0;
    row.mLeft = (aMessage.flags(index) & kLeftFlag) != 0;
    rows.push_back(row);
  }
  return rows;
}

int HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  return aDigit >= 'a' && aDigit <= 'f' ? aDigit - 'a' + 10 : -1;
}

/// Packs a request id of 32 lowercase hexadecimal digits into 16 bytes. Returns
/// an empty string for an id of another form, which is sent as it is.
std::string PackRequestId(const std::string& aRequest)
{
  if (aRequest.size() != kRequestIdHexDigits) {
    return "";
  }
  std::string bytes;
  for (std::size_t index = 0; index < aRequest.size(); index += 2) {
    const int high = HexValue(aRequest[index]);
    const int low = HexValue(aRequest[index + 1]);
    if (high < 0 || low < 0) {
      return "";
    }
    bytes.push_back(static_cast<char>(high * 16 + low));
  }
  return bytes;
}

std::string UnpackRequestId(const std::string& aBytes)
{
  std::string digits;
  for (const char byte : aBytes) {
    const auto value = static_cast<unsigned char>(byte);
    digits.push_back(kHexDigits[value >> 4]);
    digits.push_back(kHexDigits[value & 15]);
  }
  return digits;
}

/// Collects the distinct names of a bill entries message. Entries refer to a
/// name by its index.
class NameTable
{
public:
  explicit NameTable(PeerMessages::EntriesMessage& aMessage)
    : mMessage(aMessage)
  {
  }

  std::uint32_t IndexOf(const std::string& aName)
  {
    const auto [it, added] =
      mIndices.emplace(aName, static_cast<std::uint32_t>(mIndices.size()));
    if (added) {
      mMessage.add_names(aName);
    }
    return it->second;
  }

private:
  PeerMessages::EntriesMessage& mMessage;
  std::map<std::string, std::uint32_t> mIndices;
};

bool HasValidNameIndices(const PeerMessages::EntryMessage& aEntry,
                         int aNameCount)
{
  const std::uint32_t highest = std::max({ aEntry.incarnation_vm(),
                                           aEntry.incarnation_nonce(),
                                           aEntry.account(),
                                           aEntry.model(),
                                           aEntry.version() });
  return highest < static_cast<std::uint32_t>(aNameCount);
}

BillEntry Read(const PeerMessages::EntriesMessage& aMessage,
               const PeerMessages::EntryMessage& aEntry)
{
  const auto name = [&aMessage](std::uint32_t aIndex) {
    return aMessage.names(static_cast<int>(aIndex));
  };
  BillEntry entry;
  entry.mIncarnation = { name(aEntry.incarnation_vm()),
                         name(aEntry.incarnation_nonce()) };
  entry.mNumber = aEntry.number();
  entry.mRequestId = aEntry.request_is_hexadecimal()
                       ? UnpackRequestId(aEntry.request())
                       : aEntry.request();
  entry.mAccount = name(aEntry.account());
  entry.mModel = name(aEntry.model());
  entry.mVersion = name(aEntry.version());
  entry.mInputTokens = aEntry.input_tokens();
  entry.mOutputTokens = aEntry.output_tokens();
  entry.mCharge = Money{ aEntry.charge_micros() };
  // NOTE: The addition is unsigned, since a hostile message could overflow a
  //       signed one.
  entry.mTime = UnixMilliseconds(static_cast<std::int64_t>(
    static_cast<std::uint64_t>(aMessage.base_time()) +
    static_cast<std::uint64_t>(aEntry.time_after_base())));
  return entry;
}

} // namespace

ShortId ShortIdOf(const std::string& aName, const std::string& aIncarnation)
{
  const std::uint64_t hash =
    HashInto(HashInto(kFnvOffsetBasis, aName) * kFnvPrime, aIncarnation);
  return static_cast<ShortId>(hash ^ (hash >> 32));
}

PeerMessages::DigestMessage ToMessage(const Digest& aDigest)
{
  PeerMessages::DigestMessage message;
  message.set_sender(aDigest.mSender);
  std::int64_t highestGeneration = 0;
  for (const DigestRow& row : aDigest.mRows) {
    highestGeneration = std::max(highestGeneration, row.mSettingsGeneration);
  }
  message.set_top_generation(highestGeneration);
  for (const DigestRow& row : aDigest.mRows) {
    message.add_ids(row.mId);
    message.add_heartbeats(row.mHeartbeat);
    message.add_in_flights(ClampToUint32(row.mInFlight));
    message.add_flags(MakeFlags(row.mDraining, row.mStoreReachable, row.mLeft));
    message.add_generation_lags(
      ClampToUint32(highestGeneration - row.mSettingsGeneration));
  }
  for (const VmDescription& vm : aDigest.mDescriptions) {
    Write(vm, *message.add_described());
  }
  for (const EvidenceUpdate& update : aDigest.mEvidence) {
    Write(update, *message.add_evidence());
  }
  for (const ShortId id : aDigest.mUnknownIds) {
    message.add_unknown(id);
  }
  return message;
}

ErrorOr<Digest> FromMessage(const PeerMessages::DigestMessage& aMessage)
{
  if (aMessage.described_size() > kMaxDescriptionsPerDigest ||
      aMessage.evidence_size() > kMaxUpdatesPerDigest ||
      aMessage.unknown_size() > kMaxRowsPerDigest) {
    return MakeError(
      ErrorCode::Invalid,
      "Digest has too many descriptions, evidence updates or unknown ids.");
  }
  Digest digest;
  digest.mSender = aMessage.sender();
  digest.mRows = ACACIAVALE_TRY(ReadRows(aMessage));
  for (const auto& described : aMessage.described()) {
    digest.mDescriptions.push_back(ACACIAVALE_TRY(Read(described)));
  }
  for (const auto& update : aMessage.evidence()) {
    digest.mEvidence.push_back(ACACIAVALE_TRY(Read(update)));
  }
  digest.mUnknownIds.assign(aMessage.unknown().begin(),
                            aMessage.unknown().end());
  return digest;
}

std::string SerializeDigest(const Digest& aDigest)
{
  return ToMessage(aDigest).SerializeAsString();
}

ErrorOr<Digest> ParseDigest(const std::string& aBytes)
{
  PeerMessages::DigestMessage message;
  if (!message.ParseFromString(aBytes)) {
    return MakeError(ErrorCode::Invalid,
                     "Digest is not a valid protobuf message.");
  }
  return FromMessage(message);
}

PeerMessages::EntriesMessage ToMessage(const std::vector<BillEntry>& aEntries)
{
  PeerMessages::EntriesMessage message;
  NameTable names(message);
  const std::int64_t baseTime =
    aEntries.empty() ? 0 : aEntries.front().mTime.count();
  message.set_base_time(baseTime);
  for (const BillEntry& entry : aEntries) {
    auto& item = *message.add_entries();
    item.set_incarnation_vm(names.IndexOf(entry.mIncarnation.mVm));
    item.set_incarnation_nonce(names.IndexOf(entry.mIncarnation.mNonce));
    item.set_number(entry.mNumber);
    const std::string packedRequest = PackRequestId(entry.mRequestId);
    item.set_request_is_hexadecimal(!packedRequest.empty());
    item.set_request(packedRequest.empty() ? entry.mRequestId : packedRequest);
    item.set_account(names.IndexOf(entry.mAccount));
    item.set_model(names.IndexOf(entry.mModel));
    item.set_version(names.IndexOf(entry.mVersion));
    item.set_input_tokens(entry.mInputTokens);
    item.set_output_tokens(entry.mOutputTokens);
    item.set_charge_micros(entry.mCharge.mMicros);
    item.set_time_after_base(entry.mTime.count() - baseTime);
  }
  return message;
}

ErrorOr<std::vector<BillEntry>> FromMessage(
  const PeerMessages::EntriesMessage& aMessage)
{
  if (aMessage.entries_size() > kMaxEntriesPerMessage) {
    return MakeError(ErrorCode::Invalid, "Message has too many bill entries.");
  }
  std::vector<BillEntry> entries;
  entries.reserve(static_cast<std::size_t>(aMessage.entries_size()));
  for (const auto& item : aMessage.entries()) {
    if (!HasValidNameIndices(item, aMessage.names_size()) ||
        item.number() == 0) {
      return MakeError(ErrorCode::Invalid,
                       "Bill entry has an invalid name index or the number 0.");
    }
    entries.push_back(Read(aMessage, item));
  }
  return entries;
}

std::string SerializeEntries(const std::vector<BillEntry>& aEntries)
{
  return ToMessage(aEntries).SerializeAsString();
}

ErrorOr<std::vector<BillEntry>> ParseEntries(const std::string& aBytes)
{
  PeerMessages::EntriesMessage message;
  if (!message.ParseFromString(aBytes)) {
    return MakeError(ErrorCode::Invalid,
                     "Bill entries are not a valid protobuf message.");
  }
  return FromMessage(message);
}

} // namespace Acaciavale
