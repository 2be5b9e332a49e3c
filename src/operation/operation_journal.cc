#include "graniteseam/operation/operation_journal.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "graniteseam/common/hex.h"

namespace graniteseam::operation {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kUuidTextSize = 36;
constexpr std::array<std::size_t, 4> kUuidHyphens = {8, 13, 18, 23};

bool IsHyphenPosition(std::size_t position) {
  return std::find(kUuidHyphens.begin(), kUuidHyphens.end(), position) != kUuidHyphens.end();
}

std::size_t SizeOf(const KeptAnswer& answer) {
  return sizeof(KeptAnswer) + answer.content_type.size() + answer.body.size();
}

OperationState StateAfter(CompletionKind kind) {
  switch (kind) {
    case CompletionKind::kAnswered:
      return OperationState::kAnswered;
    case CompletionKind::kNotRun:
      return OperationState::kNotRun;
    case CompletionKind::kUnknownOutcome:
      break;
  }
  return OperationState::kUnknownOutcome;
}

}  // namespace

OperationJournal::OperationJournal(JournalLimits limits) : limits_(limits) {}

ClaimResult OperationJournal::Claim(const ClaimRequest& request, std::int64_t retention_ms,
                                    std::int64_t wall_ms) {
  ClaimResult result{request.operation, request.claim, ClaimVerdict::kExpired, std::nullopt};
  const auto key = ParseKey(request.operation);
  if (!key.has_value()) return result;
  ServiceJournal& journal = services_[request.service];
  const auto known = journal.entries.find(*key);
  if (known == journal.entries.end()) {
    result.verdict = ClaimNew(journal, *key, request, retention_ms, wall_ms);
    return result;
  }
  Entry& entry = known->second;
  const bool too_old = TimeOf(*key) < wall_ms - retention_ms;
  result.verdict = ClaimExisting(entry, request, too_old);
  if (result.verdict == ClaimVerdict::kAnswered) result.answer = entry.answer;
  return result;
}

ClaimVerdict OperationJournal::ClaimExisting(Entry& entry, const ClaimRequest& request,
                                             bool too_old) const {
  if (entry.group != request.group || entry.request_digest != request.request_digest) {
    return ClaimVerdict::kMismatch;
  }
  const bool same_claim = entry.claim == request.claim;
  switch (entry.state) {
    case OperationState::kClaimed:
      return same_claim ? ClaimVerdict::kClaimed : ClaimVerdict::kInProgress;
    case OperationState::kNotRun:
      // A delayed duplicate of the claim that ended. Its holder no longer waits for a result, so
      // granting it would leave the operation claimed without a holder.
      if (same_claim) return ClaimVerdict::kInProgress;
      if (too_old) return ClaimVerdict::kExpired;
      entry.claim = request.claim;
      entry.state = OperationState::kClaimed;
      return ClaimVerdict::kClaimed;
    case OperationState::kAnswered:
      return ClaimVerdict::kAnswered;
    case OperationState::kUnknownOutcome:
      break;
  }
  return ClaimVerdict::kUnknownOutcome;
}

ClaimVerdict OperationJournal::ClaimNew(ServiceJournal& journal, const OperationKey& key,
                                        const ClaimRequest& request, std::int64_t retention_ms,
                                        std::int64_t wall_ms) {
  const std::int64_t time = TimeOf(key);
  // The id may belong to an expired entry, so "not run" is not proven. This check precedes those on
  // wall time, because it alone still holds when the wall clock was set back.
  if (time <= journal.forgotten_until_ms) return ClaimVerdict::kUnknownOutcome;
  if (time < wall_ms - retention_ms) return ClaimVerdict::kExpired;
  if (time > wall_ms + limits_.future_maximum_ms) return ClaimVerdict::kExpired;
  if (entry_count_ >= limits_.entries_maximum) return ClaimVerdict::kFull;
  journal.entries.emplace(key, Entry{request.group, request.request_digest, request.claim,
                                     OperationState::kClaimed, std::nullopt});
  ++entry_count_;
  return ClaimVerdict::kClaimed;
}

void OperationJournal::Complete(const Completion& completion) {
  const auto key = ParseKey(completion.operation);
  const auto service = services_.find(completion.service);
  if (!key.has_value() || service == services_.end()) return;
  ServiceJournal& journal = service->second;
  const auto found = journal.entries.find(*key);
  if (found == journal.entries.end()) return;
  Entry& entry = found->second;
  // States are ranked: claimed, not run, unknown outcome, answered. A completion only raises the
  // rank, so that reordered and resent completions give the same final state, and "not run" never
  // replaces a report that the operation may have run.
  if (entry.claim != completion.claim) return;
  const OperationState after = StateAfter(completion.kind);
  if (Rank(after) <= Rank(entry.state)) return;
  entry.state = after;
  if (after == OperationState::kAnswered) KeepAnswer(journal, *key, entry, completion.answer);
}

int OperationJournal::Rank(OperationState state) {
  switch (state) {
    case OperationState::kClaimed:
      return 0;
    case OperationState::kNotRun:
      return 1;
    case OperationState::kUnknownOutcome:
      return 2;
    case OperationState::kAnswered:
      break;
  }
  return 3;
}

std::size_t OperationJournal::Expire(const ServiceName& service, std::int64_t retention_ms,
                                     std::int64_t wall_ms, std::size_t entries_maximum) {
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  ServiceJournal& journal = found->second;
  std::size_t removed = 0;
  while (removed < entries_maximum && !journal.entries.empty()) {
    const auto oldest = journal.entries.begin();
    const std::int64_t time = TimeOf(oldest->first);
    if (time >= wall_ms - retention_ms) break;
    DropAnswer(journal, oldest->first, oldest->second);
    journal.forgotten_until_ms = std::max(journal.forgotten_until_ms, time);
    journal.entries.erase(oldest);
    --entry_count_;
    ++removed;
  }
  return removed;
}

void OperationJournal::KeepAnswer(ServiceJournal& journal, const OperationKey& key, Entry& entry,
                                  const std::optional<KeptAnswer>& answer) {
  if (!answer.has_value() || answer->body.size() > kKeptBodyBytesMaximum) return;
  entry.answer = answer;
  const std::size_t size = SizeOf(*answer);
  journal.answer_sizes.emplace(key, size);
  answer_bytes_ += size;
  EvictAnswers();
}

void OperationJournal::DropAnswer(ServiceJournal& journal, const OperationKey& key, Entry& entry) {
  const auto size = journal.answer_sizes.find(key);
  if (size == journal.answer_sizes.end()) return;
  answer_bytes_ -= size->second;
  journal.answer_sizes.erase(size);
  entry.answer.reset();
}

/// Evicts the oldest responses across all services. The entries still record that the operations
/// ran.
void OperationJournal::EvictAnswers() {
  while (answer_bytes_ > limits_.answer_bytes_maximum) {
    ServiceJournal* oldest = nullptr;
    for (auto& [name, journal] : services_) {
      if (journal.answer_sizes.empty()) continue;
      if (oldest == nullptr ||
          journal.answer_sizes.begin()->first < oldest->answer_sizes.begin()->first) {
        oldest = &journal;
      }
    }
    if (oldest == nullptr) return;
    const OperationKey key = oldest->answer_sizes.begin()->first;
    DropAnswer(*oldest, key, oldest->entries.at(key));
  }
}

OperationJournalState OperationJournal::Snapshot() const {
  OperationJournalState state;
  for (const auto& [name, journal] : services_) {
    ServiceJournalState& service = state.services.emplace_back();
    service.service = name;
    service.forgotten_until_ms = journal.forgotten_until_ms;
    service.entries.reserve(journal.entries.size());
    for (const auto& [key, entry] : journal.entries) {
      service.entries.push_back({FormatKey(key), entry.group, entry.request_digest, entry.claim,
                                 entry.state, entry.answer});
    }
  }
  return state;
}

void OperationJournal::Restore(const OperationJournalState& state) {
  services_.clear();
  entry_count_ = 0;
  answer_bytes_ = 0;
  for (const ServiceJournalState& service : state.services) {
    ServiceJournal& journal = services_[service.service];
    journal.forgotten_until_ms = service.forgotten_until_ms;
    for (const JournalEntry& saved : service.entries) {
      const auto key = ParseKey(saved.operation);
      if (!key.has_value()) continue;  // Snapshot() writes only valid ids.
      Entry& entry = journal.entries[*key];
      entry = {saved.group, saved.request_digest, saved.claim, saved.state, std::nullopt};
      ++entry_count_;
      KeepAnswer(journal, *key, entry, saved.answer);
    }
  }
}

std::optional<OperationJournal::OperationKey> OperationJournal::ParseKey(
    const OperationId& operation) {
  const std::string& text = operation.value;
  if (text.size() != kUuidTextSize) return std::nullopt;
  OperationKey key{};
  std::size_t digits = 0;
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (IsHyphenPosition(position)) {
      if (text[position] != '-') return std::nullopt;
      continue;
    }
    const std::size_t digit = kHexDigits.find(text[position]);
    if (digit == std::string_view::npos) return std::nullopt;
    key[digits / 2] = static_cast<std::uint8_t>(key[digits / 2] << 4 | digit);
    ++digits;
  }
  const bool version_7 = key[6] >> 4 == 7;
  const bool variant_rfc = key[8] >> 6 == 2;
  if (!version_7 || !variant_rfc) return std::nullopt;
  return key;
}

/// The UUID's first 48 bits: milliseconds since 1970.
std::int64_t OperationJournal::TimeOf(const OperationKey& key) {
  std::int64_t time = 0;
  for (std::size_t byte = 0; byte < 6; ++byte) time = time << 8 | key[byte];
  return time;
}

OperationId OperationJournal::FormatKey(const OperationKey& key) {
  OperationId operation{ToHex(key.data(), key.size())};
  for (const std::size_t position : kUuidHyphens) operation.value.insert(position, 1, '-');
  return operation;
}

}  // namespace graniteseam::operation
