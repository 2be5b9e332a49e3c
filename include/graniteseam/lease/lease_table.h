/// @file
/// The control leader's side of server leases: which leases to renew, when a lease has certainly
/// expired, and which revoked shards were released. See docs/design/leases-and-fencing.md.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/lease/grant.h"

namespace graniteseam::lease {

/// Settings of a LeaseTable.
struct LeaseTableOptions {
  /// Upper bound of the relative drift between two machines' clocks.
  double clock_drift_bound = 0.001;
  /// How often a server with unreleased revoked shards is polled.
  Duration release_poll_interval{10'000};
  /// Message exchanges with a server per lease duration. A grant counts from the clock reading of
  /// the previous exchange, so in normal operation the remaining lease is between (n - 2) / n and
  /// (n - 1) / n of its duration. Six leaves two thirds of a lease to elect a new leader and
  /// exchange the first messages with the server.
  int renewals_per_lease = 6;
};

/// All shards of one server according to the leader's state.
struct ShardSet {
  std::vector<ShardGrant> grants;
  std::vector<ShardGrant> revocations;  ///< Shards whose release is pending.
};

/// An incarnation that answered while it is not granted anything. It may be registered once no
/// other incarnation of its server can hold a lease.
struct UnleasedIncarnation {
  ServerId server;
  Incarnation incarnation;

  bool operator==(const UnleasedIncarnation&) const = default;
};

/// A revoked shard for which its former owner has no more requests running.
struct Release {
  ServerId server;
  ShardGrant grant;

  bool operator==(const Release&) const = default;
};

/// The lease sessions of one leader in one term.
///
/// Lifecycle: constructed when the leader is established in its term, with every session that an
/// earlier leader may have renewed (AddLeased()); destroyed with the leadership. The caller must
/// pass events and call Advance() only while it holds its leader lease. This ensures that the clock
/// readings of a paused or partitioned leader are older than the next leader's election.
///
/// Invariant: a session is reported as expired only when no grant of this or an earlier leader can
/// still be valid on that server's own clock.
/// The cost of a call is proportional to the sessions that are due, not to all sessions or shards.
/// Deterministic; not thread safe; `now` never decreases.
class LeaseTable {
 public:
  /// Returns the whole shard set of a server, for its first grant and after a version mismatch.
  using ShardSetSource = std::function<ShardSet(const ServerId&)>;

  /// @param term the leader's term; with a counter it orders all messages to servers.
  /// @param numbers_used numbers_used() of an earlier table of the same term, else 0.
  LeaseTable(LeaseTableOptions options, Term term, std::uint64_t numbers_used,
             ShardSetSource shard_sets);

  /// Adds a server that may hold a lease from an earlier leader, and treats it as renewed at `now`.
  /// @param longest_lease the longest lease that any earlier leader may have granted it.
  void AddLeased(const ServerId& server, Incarnation incarnation, Duration lease,
                 Duration longest_lease, Instant now);

  /// Adds a server that certainly holds no lease; it is sent hellos. For a known server, this only
  /// sets the lease duration of its next grants.
  void AddUnleased(const ServerId& server, Duration lease, Instant now);

  /// Ends the session of a server that holds no lease.
  void Remove(const ServerId& server);

  /// Begins to grant leases to a server, at the incarnation that was committed as its only one.
  void Admit(const ServerId& server, Incarnation incarnation, Instant now);

  /// Resets an expired session once the loss is committed. The server is sent hellos again.
  void Dismiss(const ServerId& server, Instant now);

  /// Adds a shard to a server's set; the next message to the server carries the grant. A pending
  /// release of the shard by another server is no longer awaited.
  void Grant(const ServerId& server, const ShardGrant& grant, Instant now);

  /// Revokes a shard; the next message to the server requests its release.
  void Revoke(const ServerId& server, const ShardGrant& grant, Instant now);

  /// Processes a server's answer. Late or repeated answers, and answers to other leaders, have no
  /// effect.
  void Take(const LeaseAnswer& answer, Instant now);

  /// Expires sessions that are due. @return the messages to send now.
  std::vector<LeaseRequest> Advance(Instant now);

  /// When Advance() is next due; the greatest instant without sessions.
  Instant NextAdvance() const;

  /// Servers whose lease has certainly expired and that were not dismissed or admitted since.
  const std::set<ServerId>& expired() const { return expired_; }
  /// The incarnation that currently answers in place of the session's one, if any.
  std::optional<Incarnation> Successor(const ServerId& server, Instant now) const;
  /// Returns and clears the incarnations without a lease, including restarted servers, that
  /// answered since the last call.
  std::vector<UnleasedIncarnation> TakeUnleasedIncarnations();
  /// Returns and clears the releases since the last call, without duplicates.
  std::vector<Release> TakeReleases();
  /// Returns and clears the changes of servers' `leaving` flags since the last call.
  std::vector<std::pair<ServerId, bool>> TakeLeavingChanges();

  /// Whether the server answered recently enough, within half a lease, to be assigned shards.
  bool Healthy(const ServerId& server, Instant now) const;
  bool HasSession(const ServerId& server) const { return sessions_.contains(server); }
  /// Whether the server certainly holds no lease and is only sent hellos.
  bool IsUnleased(const ServerId& server) const;
  /// Upper bound of the remaining lease at the server; zero without a lease.
  Duration Remaining(const ServerId& server, Instant now) const;
  /// The load that the server last reported, 0 idle to 1 full.
  double LoadHint(const ServerId& server) const;
  std::size_t size() const { return sessions_.size(); }
  /// Sequence numbers used for messages and shard sets so far.
  std::uint64_t numbers_used() const { return last_number_; }

 private:
  enum class State {
    kUnleased,  ///< Holds no lease; its answers become UnleasedIncarnation entries.
    kLeased,    ///< May hold a lease until `expires_at`.
    kExpired,   ///< Its lease has expired; waits for Dismiss() or Admit().
  };
  /// A change of a server's shard set that the server has not confirmed.
  struct Change {
    std::uint64_t version = 0;  ///< Shard-set version after the change.
    ShardGrant grant;
    bool revoked = false;
  };
  struct Session {
    State state = State::kUnleased;
    Incarnation incarnation;               ///< While leased: the only one with grants.
    std::optional<Incarnation> successor;  ///< Another one that answered while leased.
    Duration lease{};
    Instant expires_at{};              ///< No grant is valid from then on.
    std::optional<Instant> reading;    ///< Newest reading of the server's clock.
    Instant reading_received{};        ///< On the leader's clock.
    std::uint64_t answered = 0;        ///< Sequence of the newest message answered.
    std::uint64_t last_sent = 0;       ///< Sequence of the newest message sent.
    Instant expiry_deferred_until{};   ///< No expiry before this: the server could not answer.
    std::uint64_t version = 0;         ///< Shard-set version that the leader has set.
    std::uint64_t confirmed = 0;       ///< Version that the server holds; 0 if unknown.
    std::vector<Change> changes;       ///< Changes after `confirmed`, in order.
    std::map<ShardId, Epoch> awaited;  ///< Revoked, not released or reassigned yet.
    bool leaving = false;
    double load = 0.0;
    Instant due{};  ///< Key of its entry in due_.
  };

  Session& Open(const ServerId& server, Duration lease, Instant now);
  void Schedule(const ServerId& server, Session& session, Instant at);
  void ScheduleChange(const ServerId& server, Session& session, Instant now);
  Duration Interval(const Session& session) const;
  void HandleLeasedAnswer(const ServerId& server, Session& session, const LeaseAnswer& answer,
                          Instant now);
  void Confirm(Session& session, const LeaseAnswer& answer) const;
  void NoteReleases(const ServerId& server, Session& session, const LeaseAnswer& answer);
  void ExpireIfDue(const ServerId& server, Session& session, Instant now);
  void DeferExpiryAfterPause(Instant now);
  LeaseRequest Compose(const ServerId& server, Session& session);
  void FillChange(const ServerId& server, Session& session, LeaseRequest& request) const;
  std::uint64_t NextVersion();

  LeaseTableOptions options_;
  Term term_;
  ShardSetSource shard_sets_;
  std::uint64_t last_number_;
  std::map<ServerId, Session> sessions_;
  std::set<std::pair<Instant, ServerId>> due_;
  std::map<ShardId, ServerId> awaited_from_;
  std::set<ServerId> expired_;
  std::vector<UnleasedIncarnation> unleased_incarnations_;
  std::vector<Release> releases_;
  std::vector<std::pair<ServerId, bool>> leaving_changes_;
};

}  // namespace graniteseam::lease
