/// @file
/// The operation journal: the replicated record that makes non-repeatable operations run at most
/// once. See docs/design/operation-journal.md.
#pragma once

#include <array>
#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/operation/messages.h"

namespace graniteseam::operation {

/// State of one operation.
enum class OperationState { kClaimed, kNotRun, kAnswered, kUnknownOutcome };
BOOST_DESCRIBE_ENUM(OperationState, kClaimed, kNotRun, kAnswered, kUnknownOutcome)

/// One operation in a snapshot.
struct JournalEntry {
  OperationId operation;
  GroupName group;
  std::string request_digest;
  std::uint64_t claim = 0;
  OperationState state = OperationState::kClaimed;
  std::optional<KeptAnswer> answer;

  bool operator==(const JournalEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(JournalEntry, (), (operation, group, request_digest, claim, state, answer))

/// One service's part of a snapshot.
struct ServiceJournalState {
  ServiceName service;
  /// Time of the newest operation id that was ever expired, in milliseconds since 1970; -1 for
  /// none.
  std::int64_t forgotten_until_ms = -1;
  std::vector<JournalEntry> entries;  ///< In ascending order of operation id.

  bool operator==(const ServiceJournalState&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServiceJournalState, (), (service, forgotten_until_ms, entries))

/// The whole journal as a value, for snapshots.
struct OperationJournalState {
  std::vector<ServiceJournalState> services;  ///< In ascending order of name.

  bool operator==(const OperationJournalState&) const = default;
};
BOOST_DESCRIBE_STRUCT(OperationJournalState, (), (services))

/// Limits of the journal. Part of the replicated behaviour: all replicas must use the same values,
/// so they are not configurable.
struct JournalLimits {
  std::size_t entries_maximum = 1'000'000;                    ///< Operations of all services.
  std::size_t answer_bytes_maximum = std::size_t{128} << 20;  ///< Retained responses, in total.
  /// Largest amount by which an id's time may be ahead of the log command's wall time.
  std::int64_t future_maximum_ms = 60'000;
};

/// Grants the exclusive right to run an operation.
///
/// Invariant: for each (service, operation id), kClaimed is returned to a second claim number only
/// after the first holder's completion reported that it did not run. Expiry preserves this: an id
/// that is not newer than the newest one ever expired is never claimed again.
///
/// A deterministic state machine, applied from the log in the same order on every replica: wall
/// time comes with the log command and may jump in either direction. A jump causes claims to be
/// refused while it lasts and does not affect safety. Not thread safe.
class OperationJournal {
 public:
  explicit OperationJournal(JournalLimits limits = {});

  /// Applies a claim.
  /// @param retention_ms the service's window, from the bundle active at this log position.
  /// @param wall_ms milliseconds since 1970 as stamped on the log command by its proposer.
  ClaimResult Claim(const ClaimRequest& request, std::int64_t retention_ms, std::int64_t wall_ms);

  /// Applies a completion. A resent completion, or one from a claim that does not hold the
  /// operation, has no effect. An unknown outcome may still become an answer.
  void Complete(const Completion& completion);

  /// Removes a service's operations whose id is older than `wall_ms - retention_ms`, in any state,
  /// up to `entries_maximum` of them.
  /// @return the number removed.
  std::size_t Expire(const ServiceName& service, std::int64_t retention_ms, std::int64_t wall_ms,
                     std::size_t entries_maximum);

  std::size_t entry_count() const { return entry_count_; }
  /// Memory held by retained responses.
  std::size_t answer_bytes() const { return answer_bytes_; }

  OperationJournalState Snapshot() const;
  void Restore(const OperationJournalState& state);

 private:
  /// A UUID's 16 bytes; byte order is time order (RFC 9562, section 5.7).
  using OperationKey = std::array<std::uint8_t, 16>;

  struct Entry {
    GroupName group;
    std::string request_digest;
    std::uint64_t claim = 0;
    OperationState state = OperationState::kClaimed;
    std::optional<KeptAnswer> answer;
  };

  struct ServiceJournal {
    std::int64_t forgotten_until_ms = -1;
    std::map<OperationKey, Entry> entries;
    /// Sizes of retained responses in bytes, oldest id first; the oldest is evicted first.
    std::map<OperationKey, std::size_t> answer_sizes;
  };

  static std::optional<OperationKey> ParseKey(const OperationId& operation);
  static std::int64_t TimeOf(const OperationKey& key);
  static OperationId FormatKey(const OperationKey& key);

  /// Order of the states by how much is known of the outcome; a completion can only raise it.
  static int Rank(OperationState state);

  ClaimVerdict ClaimExisting(Entry& entry, const ClaimRequest& request, bool too_old) const;
  ClaimVerdict ClaimNew(ServiceJournal& journal, const OperationKey& key,
                        const ClaimRequest& request, std::int64_t retention_ms,
                        std::int64_t wall_ms);
  void KeepAnswer(ServiceJournal& journal, const OperationKey& key, Entry& entry,
                  const std::optional<KeptAnswer>& answer);
  void DropAnswer(ServiceJournal& journal, const OperationKey& key, Entry& entry);
  void EvictAnswers();

  JournalLimits limits_;
  std::map<ServiceName, ServiceJournal> services_;
  std::size_t entry_count_ = 0;
  std::size_t answer_bytes_ = 0;
};

}  // namespace graniteseam::operation
