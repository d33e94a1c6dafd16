#include "ClaimRecord.h"

#include <Acaciavale/LibClaims/Claims.h>
#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Random.h>

#include <array>
#include <openssl/sha.h>

namespace Acaciavale {

namespace {

constexpr char kLogComponent[] = "claims";
constexpr char kKeyPrefix[] = "claims/";
/// Number of hexadecimal digits of a hash in a store key: 128 bits.
constexpr std::size_t kHashDigits = 32;
/// After this many conflicting writes to a claim, this attempt gives up and
/// leaves the claim to the other writers.
constexpr int kMaxWriteAttempts = 8;

std::string Sha256Hex(const std::string& aBytes)
{
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         digest.data());
  std::string hex;
  for (const unsigned char byte : digest) {
    hex.push_back(kHexDigits[byte >> 4]);
    hex.push_back(kHexDigits[byte & 15]);
  }
  return hex;
}

ClaimRecord NewRecord(const ClaimQuery& aQuery)
{
  ClaimRecord record;
  record.mNonce = aQuery.mNonce;
  if (record.mNonce.empty()) {
    Random random(EntropySeed());
    record.mNonce = RandomToken(random);
  }
  record.mVm = aQuery.mVm;
  record.mRequestDigest = aQuery.mRequestDigest;
  record.mAcquiredAt = aQuery.mNow;
  record.mLease = aQuery.mLease;
  return record;
}

bool BelongsToQuery(const ClaimRecord& aRecord, const ClaimQuery& aQuery)
{
  if (aQuery.mNonce.empty()) {
    return aRecord.mVm == aQuery.mVm &&
           aRecord.mRequestDigest == aQuery.mRequestDigest;
  }
  return aRecord.mNonce == aQuery.mNonce;
}

/// Returns the result of a query that found the record of another request.
ClaimResult EvaluateRecord(const ClaimRecord& aRecord, const ClaimQuery& aQuery)
{
  if (aRecord.mRequestDigest != aQuery.mRequestDigest) {
    return { ClaimVerdict::RequestDiffers, {} };
  }
  if (aRecord.mState == ClaimState::Done) {
    return { ClaimVerdict::Done, aRecord.mResponse };
  }
  const bool isOverdue = aQuery.mNow - aRecord.mAcquiredAt > aQuery.mRunTimeout;
  if (aRecord.mState == ClaimState::Unknown || isOverdue) {
    return { ClaimVerdict::Unknown, {} };
  }
  return { ClaimVerdict::InProgress, {} };
}

ClaimResult StoreUnavailableResult(ErrorCode aCode)
{
  ClaimResult result;
  result.mVerdict = ClaimVerdict::StoreUnavailable;
  result.mMayBeClaimed = aCode == ErrorCode::OutcomeUnknown;
  return result;
}

/// Update of a claim record by its owner: a write of a new state, or the
/// removal.
using ClaimUpdate = std::function<ErrorOr<void>(const KeyValueEntry& aEntry,
                                                const ClaimRecord& aRecord)>;

/// Reads the claim, checks that it belongs to the query, and updates it.
/// Retries if the record changed between the read and the update.
ErrorOr<void> UpdateOwnClaim(const KeyValueStore& aStore,
                             const ClaimQuery& aQuery,
                             const ClaimUpdate& aUpdate)
{
  const std::string key = ClaimKey(aQuery.mAccount, aQuery.mKey);
  for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    const auto entry = ACACIAVALE_TRY(aStore.mRead(key));
    if (!entry) {
      return MakeError(ErrorCode::NotFound, "The claim does not exist.");
    }
    const auto record = DecodeClaim(entry->mValue);
    if (!record || !BelongsToQuery(*record, aQuery)) {
      return MakeError(ErrorCode::Conflict,
                       "The claim belongs to another request.");
    }
    auto updated = aUpdate(*entry, *record);
    if (updated || updated.error().mCode != ErrorCode::Conflict) {
      return updated;
    }
  }
  return MakeError(ErrorCode::Conflict,
                   "The claim was changed concurrently too often.");
}

ErrorOr<void> WriteState(const KeyValueStore& aStore,
                         const KeyValueEntry& aEntry,
                         const ClaimRecord& aRecord)
{
  // NOTE: The write names the lease again; without it, the store would never
  //       delete the claim.
  ACACIAVALE_TRY(WriteResolved(
    aStore,
    { aEntry.mKey, EncodeClaim(aRecord), aEntry.mRevision, aRecord.mLease }));
  return {};
}

} // namespace

std::string ClaimKey(const std::string& aAccount, const std::string& aKey)
{
  return kKeyPrefix + Sha256Hex(aAccount).substr(0, kHashDigits) + "/" +
         Sha256Hex(aKey).substr(0, kHashDigits);
}

std::string RequestDigest(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aBody)
{
  // NOTE: Neither a method nor a path contains a line feed, so different
  //       requests never yield the same text.
  return Sha256Hex(aMethod + "\n" + aPath + "\n" + aBody);
}

ClaimResult AcquireClaim(const KeyValueStore& aStore, const ClaimQuery& aQuery)
{
  const ClaimRecord record = NewRecord(aQuery);
  CompareAndSwap write{ ClaimKey(aQuery.mAccount, aQuery.mKey),
                        EncodeClaim(record),
                        0,
                        aQuery.mLease };
  for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    const auto written = WriteResolved(aStore, write);
    if (written) {
      return { ClaimVerdict::Granted, {} };
    }
    if (written.error().mCode != ErrorCode::Conflict) {
      return StoreUnavailableResult(written.error().mCode);
    }
    const auto entry = aStore.mRead(write.mKey);
    if (!entry) {
      // NOTE: A claim exists, so the call may have run, but its outcome cannot
      //       be read.
      return { ClaimVerdict::Unknown, {} };
    }
    if (!entry->has_value()) {
      write.mExpectedRevision = 0;
      continue;
    }
    const auto found = DecodeClaim((*entry)->mValue);
    if (!found) {
      Log(LogLevel::Error,
          kLogComponent,
          "A claim record in the store is malformed.",
          {});
      return { ClaimVerdict::Unknown, {} };
    }
    if (aQuery.mNow - found->mAcquiredAt <= aQuery.mRetention) {
      return EvaluateRecord(*found, aQuery);
    }
    write.mExpectedRevision = (*entry)->mRevision;
  }
  return { ClaimVerdict::InProgress, {} };
}

ErrorOr<void> CompleteClaim(const KeyValueStore& aStore,
                            const ClaimQuery& aQuery,
                            const StoredResponse& aResponse)
{
  if (aResponse.mBody.size() > kMaxStoredBodyBytes) {
    ACACIAVALE_TRY_VOID(MarkClaimUnknown(aStore, aQuery));
    return MakeError(ErrorCode::Invalid,
                     "The response is too large to store with the claim.");
  }
  return UpdateOwnClaim(
    aStore,
    aQuery,
    [&](const KeyValueEntry& aEntry, ClaimRecord aRecord) -> ErrorOr<void> {
      if (aRecord.mState == ClaimState::Done) {
        return {};
      }
      aRecord.mState = ClaimState::Done;
      aRecord.mResponse = aResponse;
      return WriteState(aStore, aEntry, aRecord);
    });
}

ErrorOr<void> MarkClaimUnknown(const KeyValueStore& aStore,
                               const ClaimQuery& aQuery)
{
  return UpdateOwnClaim(
    aStore,
    aQuery,
    [&](const KeyValueEntry& aEntry, ClaimRecord aRecord) -> ErrorOr<void> {
      if (aRecord.mState != ClaimState::Running) {
        return {};
      }
      aRecord.mState = ClaimState::Unknown;
      return WriteState(aStore, aEntry, aRecord);
    });
}

ErrorOr<void> ReleaseClaim(const KeyValueStore& aStore,
                           const ClaimQuery& aQuery)
{
  auto released = UpdateOwnClaim(
    aStore,
    aQuery,
    [&](const KeyValueEntry& aEntry,
        const ClaimRecord& aRecord) -> ErrorOr<void> {
      if (aRecord.mState != ClaimState::Running) {
        return MakeError(ErrorCode::Invalid,
                         "The claim already has an outcome.");
      }
      auto removed = aStore.mRemove(aEntry.mKey, aEntry.mRevision);
      if (!removed && removed.error().mCode == ErrorCode::OutcomeUnknown) {
        // NOTE: Conflict makes UpdateOwnClaim read the claim again, which shows
        //       whether the removal took effect.
        return MakeError(
          ErrorCode::Conflict,
          "The store's response to the removal of a claim was lost.");
      }
      return removed;
    });
  if (!released && released.error().mCode == ErrorCode::NotFound) {
    return {};
  }
  return released;
}

} // namespace Acaciavale
