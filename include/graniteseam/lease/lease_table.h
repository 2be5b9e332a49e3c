/// @file
/// The control leader's side of server leases: whom to renew, when a lease is over for certain, and
/// which revoked shards were released. See docs/design/leases-and-fencing.md.
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

/// Tunables of the leader's side.
struct LeaseTableOptions {
  /// Rate by which two machines' clocks may differ.
  double clock_drift_bound = 0.001;
  /// How often a server is asked that has revoked shards to release.
  Duration release_poll_interval{10'000};
  /// Exchanges with a server in one lease length. A grant is dated from the reading of the exchange
  /// before, so a server's lease lies between (n - 2) / n and (n - 1) / n of its length while all
  /// goes well. Six leaves two thirds of a lease to elect a new leader and greet the server.
  int renewals_per_lease = 6;
};

/// All shards of one server, as the leader's state has them.
struct ShardSet {
  std::vector<ShardGrant> grants;
  std::vector<ShardGrant> revocations;  ///< Those whose release is awaited.
};

/// An incarnation that answered and is granted nothing: it may be registered once no other
/// incarnation of its server can hold a lease.
struct UnleasedIncarnation {
  ServerId server;
  Incarnation incarnation;

  bool operator==(const UnleasedIncarnation&) const = default;
};

/// A revoked shard that its owner no longer runs anything for.
struct Release {
  ServerId server;
  ShardGrant grant;

  bool operator==(const Release&) const = default;
};

/// The sessions of one leader in one term.
///
/// Lifecycle: constructed when the leader is established in its term, with every session that an
/// earlier leader may have kept alive (AddLeased); dropped with the leadership. The caller must
/// pass events and call Advance() only while it holds its leader lease: that is what makes a paused
/// or cut-off leader's readings older than the next leader's election.
///
/// Invariant: a session is reported as expired only when no grant of this or an earlier leader can
/// still be valid on that server's own clock.
/// Work per call is in proportion to the sessions that are due, not to all sessions or shards.
/// Deterministic; not thread safe; `now` never goes back.
class LeaseTable {
 public:
  /// Reads the whole shard set of a server, for the first grant to it and after a mismatch.
  using ShardSetSource = std::function<ShardSet(const ServerId&)>;

  /// @param term the leader's term; with a counter it orders all messages to servers.
  /// @param numbers_used numbers_used() of an earlier table of the same term, else 0.
  LeaseTable(LeaseTableOptions options, Term term, std::uint64_t numbers_used,
             ShardSetSource shard_sets);

  /// Adds a server that may hold a lease of an earlier leader. It counts as renewed at `now`.
  /// @param longest_lease the longest lease that any earlier leader may have granted it.
  void AddLeased(const ServerId& server, Incarnation incarnation, Duration lease,
                 Duration longest_lease, Instant now);

  /// Adds a server that certainly holds no lease; it is greeted until it answers. No effect on a
  /// known one but for the lease length of its next grants.
  void AddUnleased(const ServerId& server, Duration lease, Instant now);

  /// Stops talking to a server that holds no lease.
  void Remove(const ServerId& server);

  /// Begins to grant leases to a server, at an incarnation that was committed as the only one.
  void Admit(const ServerId& server, Incarnation incarnation, Instant now);

  /// Ends an expired session, once its loss is committed. The server is greeted anew.
  void Dismiss(const ServerId& server, Instant now);

  /// Tells that a shard was given to a server: its next message carries the grant. Whoever was
  /// asked to release the shard is no longer waited for.
  void Grant(const ServerId& server, const ShardGrant& grant, Instant now);

  /// Tells that a server is to release a shard.
  void Revoke(const ServerId& server, const ShardGrant& grant, Instant now);

  /// Takes a server's answer. Late, repeated or foreign ones are harmless.
  void Take(const LeaseAnswer& answer, Instant now);

  /// Lets time pass. @return the messages to send now.
  std::vector<LeaseRequest> Advance(Instant now);

  /// When Advance() has something to do next.
  Instant NextAdvance() const;

  /// Sessions whose lease is over for certain and that have not been dismissed or admitted yet.
  const std::set<ServerId>& expired() const { return expired_; }
  /// The incarnation that answers in place of the one that a session was opened with, if one does.
  std::optional<Incarnation> Successor(const ServerId& server, Instant now) const;
  /// Servers without a lease, and restarted ones, that answered since the last call.
  std::vector<UnleasedIncarnation> TakeUnleasedIncarnations();
  /// Releases seen since the last call, each once.
  std::vector<Release> TakeReleases();
  /// Servers whose word about leaving changed since the last call.
  std::vector<std::pair<ServerId, bool>> TakeLeavingChanges();

  /// Whether the server answered lately enough that giving it shards makes sense.
  bool Healthy(const ServerId& server, Instant now) const;
  bool HasSession(const ServerId& server) const { return sessions_.contains(server); }
  /// Whether the server certainly holds no lease and is only greeted.
  bool IsUnleased(const ServerId& server) const;
  /// How long the lease may still be valid at the server, at most; zero without one.
  Duration Remaining(const ServerId& server, Instant now) const;
  /// The server's last word on its load, 0 idle to 1 full.
  double LoadHint(const ServerId& server) const;
  std::size_t size() const { return sessions_.size(); }
  /// Numbers given to messages and shard sets so far.
  std::uint64_t numbers_used() const { return last_number_; }

 private:
  enum class State {
    kUnleased,  ///< Holds no lease; answers are appearances.
    kLeased,    ///< May hold a lease up to `expires_at`.
    kExpired,   ///< Its lease is over; waits for Dismiss() or Admit().
  };
  struct Change {
    std::uint64_t version = 0;  ///< Shard-set version that it leads to.
    ShardGrant grant;
    bool revoked = false;
  };
  struct Session {
    State state = State::kUnleased;
    Incarnation incarnation;               ///< While leased: the only one that is granted anything.
    std::optional<Incarnation> successor;  ///< Another one that answers while leased.
    Duration lease{};
    Instant expires_at{};              ///< From then on no grant of ours is valid.
    std::optional<Instant> reading;    ///< Newest, on the server's clock.
    Instant reading_received{};        ///< Ours.
    std::uint64_t answered = 0;        ///< Sequence of the newest message answered.
    std::uint64_t last_sent = 0;       ///< Sequence of the newest message sent.
    Instant expiry_deferred_until{};   ///< Not reported as expired before: it had no chance yet.
    std::uint64_t version = 0;         ///< Shard-set version that the leader wants.
    std::uint64_t confirmed = 0;       ///< That the server holds; 0 for unknown.
    std::vector<Change> changes;       ///< After `confirmed`, in order.
    std::map<ShardId, Epoch> awaited;  ///< Revoked and not given elsewhere yet.
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
