#include "graniteseam/lease/lease_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "graniteseam/common/seeded_defects.h"

namespace graniteseam::lease {

namespace {

/// Position of the term in a shard-set version. Versions of different terms must differ, so that a
/// set from an earlier leader is never mistaken for one of this leader.
constexpr unsigned kTermShift = 32;

/// The duration of a server's lease on a clock that may run faster by the drift bound.
Duration Stretch(Duration lease, double drift_bound) {
  const double stretched = static_cast<double>(lease.count()) * (1.0 + drift_bound);
  return Duration(static_cast<Duration::rep>(std::ceil(stretched)));
}

}  // namespace

LeaseTable::LeaseTable(LeaseTableOptions options, Term term, std::uint64_t numbers_used,
                       ShardSetSource shard_sets)
    : options_(options),
      term_(term),
      shard_sets_(std::move(shard_sets)),
      last_number_(numbers_used) {}

std::uint64_t LeaseTable::NextVersion() { return (term_.value << kTermShift) + ++last_number_; }

Duration LeaseTable::Interval(const Session& session) const {
  const Duration usual = session.lease / options_.renewals_per_lease;
  if (session.state == State::kUnleased) return std::max(Duration(1), session.lease / 2);
  const bool awaits_release = session.state == State::kLeased && !session.awaited.empty();
  return std::max(Duration(1),
                  awaits_release ? std::min(usual, options_.release_poll_interval) : usual);
}

LeaseTable::Session& LeaseTable::Open(const ServerId& server, Duration lease, Instant now) {
  const auto [entry, inserted] = sessions_.try_emplace(server);
  Session& session = entry->second;
  session.lease = lease;
  if (inserted) {
    session.due = now;
    due_.emplace(now, server);
  }
  return session;
}

void LeaseTable::AddLeased(const ServerId& server, Incarnation incarnation, Duration lease,
                           Duration longest_lease, Instant now) {
  Session& session = Open(server, lease, now);
  session.state = State::kLeased;
  session.incarnation = incarnation;
  // Every grant of an earlier leader is based on a reading taken before that leader's own lease
  // ended, hence before this leader's election, and `now` is later still.
  session.expires_at = now + Stretch(std::max(lease, longest_lease), options_.clock_drift_bound);
  if (DefectOn(Defect::kNoWaitAfterElection)) session.expires_at = now;
  session.version = NextVersion();
  for (const auto& grant : shard_sets_(server).revocations) {
    session.awaited[grant.shard] = grant.epoch;
    awaited_from_[grant.shard] = server;
  }
}

void LeaseTable::AddUnleased(const ServerId& server, Duration lease, Instant now) {
  Open(server, lease, now);
}

void LeaseTable::Remove(const ServerId& server) {
  const auto found = sessions_.find(server);
  if (found == sessions_.end() || found->second.state != State::kUnleased) return;
  due_.erase({found->second.due, server});
  sessions_.erase(found);
}

void LeaseTable::Admit(const ServerId& server, Incarnation incarnation, Instant now) {
  const auto found = sessions_.find(server);
  if (found == sessions_.end()) return;
  Session& session = found->second;
  if (session.state == State::kLeased && session.incarnation == incarnation) return;
  const bool reading_fits = session.state == State::kUnleased ? session.incarnation == incarnation
                                                              : session.successor == incarnation;
  if (!reading_fits) session.reading.reset();
  expired_.erase(server);
  session.state = State::kLeased;
  session.incarnation = incarnation;
  session.successor.reset();
  session.expires_at = std::max(session.expires_at, now);
  session.expiry_deferred_until = now + session.lease / 2;
  session.version = NextVersion();
  session.confirmed = 0;
  session.leaving = false;
  session.changes.clear();
  for (const auto& [shard, epoch] : session.awaited) awaited_from_.erase(shard);
  session.awaited.clear();
  Schedule(server, session, now);
}

void LeaseTable::Dismiss(const ServerId& server, Instant now) {
  const auto found = sessions_.find(server);
  if (found == sessions_.end() || found->second.state == State::kUnleased) return;
  Session& session = found->second;
  expired_.erase(server);
  for (const auto& [shard, epoch] : session.awaited) awaited_from_.erase(shard);
  session.awaited.clear();
  session.changes.clear();
  session.confirmed = 0;
  session.state = State::kUnleased;
  session.successor.reset();
  session.reading.reset();
  Schedule(server, session, now);
}

void LeaseTable::Grant(const ServerId& server, const ShardGrant& grant, Instant now) {
  if (const auto from = awaited_from_.find(grant.shard); from != awaited_from_.end()) {
    sessions_.at(from->second).awaited.erase(grant.shard);
    awaited_from_.erase(from);
  }
  const auto found = sessions_.find(server);
  if (found == sessions_.end() || found->second.state != State::kLeased) return;
  Session& session = found->second;
  session.version = NextVersion();
  if (session.confirmed != 0) session.changes.push_back({session.version, grant, false});
  ScheduleChange(server, session, now);
}

void LeaseTable::Revoke(const ServerId& server, const ShardGrant& grant, Instant now) {
  const auto found = sessions_.find(server);
  if (found == sessions_.end() || found->second.state != State::kLeased) return;
  Session& session = found->second;
  session.awaited[grant.shard] = grant.epoch;
  awaited_from_[grant.shard] = server;
  session.version = NextVersion();
  if (session.confirmed != 0) session.changes.push_back({session.version, grant, true});
  ScheduleChange(server, session, now);
}

void LeaseTable::ScheduleChange(const ServerId& server, Session& session, Instant now) {
  // Only one message at a time per server: an unanswered one must first be answered, or time out
  // after one interval.
  if (session.answered < session.last_sent && session.due > now) return;
  Schedule(server, session, now);
}

void LeaseTable::Schedule(const ServerId& server, Session& session, Instant at) {
  if (session.due == at) return;
  due_.erase({session.due, server});
  session.due = at;
  due_.emplace(at, server);
}

void LeaseTable::Take(const LeaseAnswer& answer, Instant now) {
  const auto found = sessions_.find(answer.server);
  if (found == sessions_.end()) return;
  Session& session = found->second;
  // An answer to another leader's message, or one older than an answer already processed, is stale.
  if (answer.order.term != term_) return;
  if (answer.order.sequence <= session.answered || answer.order.sequence > session.last_sent)
    return;
  ExpireIfDue(answer.server, session, now);
  session.answered = answer.order.sequence;
  session.load = answer.load;
  if (answer.leaving != session.leaving) {
    session.leaving = answer.leaving;
    leaving_changes_.emplace_back(answer.server, answer.leaving);
  }
  if (session.state == State::kUnleased) {
    session.incarnation = answer.incarnation;
    session.reading = answer.reading;
    session.reading_received = now;
    unleased_incarnations_.push_back({answer.server, answer.incarnation});
    return;
  }
  HandleLeasedAnswer(answer.server, session, answer, now);
}

void LeaseTable::HandleLeasedAnswer(const ServerId& server, Session& session,
                                    const LeaseAnswer& answer, Instant now) {
  if (answer.incarnation != session.incarnation) {
    // The server was restarted. The previous incarnation may still run requests until its lease
    // expires, so nothing is granted to the new one before that.
    session.successor = answer.incarnation;
    session.reading = answer.reading;
    session.reading_received = now;
    unleased_incarnations_.push_back({server, answer.incarnation});
    return;
  }
  if (session.successor || session.state == State::kExpired) return;
  session.reading = answer.reading;
  session.reading_received = now;
  const bool change_refused = !answer.accepted && session.confirmed != 0;
  Confirm(session, answer);
  NoteReleases(server, session, answer);
  // A rejected whole set is retried only after one interval: another leader may have sent messages
  // to the server.
  if (session.confirmed != session.version && (answer.accepted || change_refused)) {
    Schedule(server, session, now);
  }
}

void LeaseTable::Confirm(Session& session, const LeaseAnswer& answer) const {
  const bool from_this_term = (answer.shard_set_version >> kTermShift) == term_.value &&
                              answer.shard_set_version <= session.version;
  if (!from_this_term) {
    session.confirmed = 0;
    session.changes.clear();
    return;
  }
  // The changes after a version below `confirmed` are no longer kept, so the whole set must be
  // sent.
  if (session.confirmed != 0 && answer.shard_set_version < session.confirmed) {
    session.confirmed = 0;
    session.changes.clear();
    return;
  }
  if (session.confirmed == 0 && answer.shard_set_version != session.version) return;
  session.confirmed = answer.shard_set_version;
  std::erase_if(session.changes,
                [&](const Change& change) { return change.version <= session.confirmed; });
}

void LeaseTable::NoteReleases(const ServerId& server, Session& session, const LeaseAnswer& answer) {
  for (const auto& grant : answer.released) {
    const auto awaited = session.awaited.find(grant.shard);
    if (awaited == session.awaited.end() || awaited->second != grant.epoch) continue;
    session.awaited.erase(awaited);
    awaited_from_.erase(grant.shard);
    releases_.push_back({server, grant});
  }
}

void LeaseTable::ExpireIfDue(const ServerId& server, Session& session, Instant now) {
  if (session.state != State::kLeased) return;
  if (now < session.expires_at || now < session.expiry_deferred_until) return;
  session.state = State::kExpired;
  expired_.insert(server);
}

void LeaseTable::DeferExpiryAfterPause(Instant now) {
  if (due_.empty()) return;
  const auto& [due, server] = *due_.begin();
  if (now - due <= sessions_.at(server).lease / 2) return;
  // This leader was paused, or had lost its own lease for a while, so the servers could not answer.
  // Without this, all sessions would expire at once.
  for (auto& [id, session] : sessions_) session.expiry_deferred_until = now + session.lease / 2;
}

std::vector<LeaseRequest> LeaseTable::Advance(Instant now) {
  std::vector<LeaseRequest> requests;
  DeferExpiryAfterPause(now);
  while (!due_.empty() && due_.begin()->first <= now) {
    const ServerId server = due_.begin()->second;
    due_.erase(due_.begin());
    Session& session = sessions_.at(server);
    ExpireIfDue(server, session, now);
    requests.push_back(Compose(server, session));
    Instant next = now + Interval(session);
    if (session.state == State::kLeased) {
      const Instant over = std::max(session.expires_at, session.expiry_deferred_until);
      if (over > now) next = std::min(next, over);
    }
    session.due = next;
    due_.emplace(next, server);
  }
  return requests;
}

LeaseRequest LeaseTable::Compose(const ServerId& server, Session& session) {
  LeaseRequest request;
  request.server = server;
  request.order = {term_, ++last_number_};
  session.last_sent = last_number_;
  if (session.state != State::kLeased || session.successor || !session.reading) return request;
  request.incarnation = session.incarnation;
  request.valid_until = *session.reading + session.lease;
  // The reading was taken before it was received, so on any clock within the drift bound the grant
  // ends before `expires_at`.
  session.expires_at =
      std::max(session.expires_at,
               session.reading_received + Stretch(session.lease, options_.clock_drift_bound));
  FillChange(server, session, request);
  if (DefectOn(Defect::kRenewalOfWrongSet)) {
    // Assumes that the change has arrived.
    session.confirmed = session.version;
    session.changes.clear();
  }
  return request;
}

void LeaseTable::FillChange(const ServerId& server, Session& session, LeaseRequest& request) const {
  request.base_version = session.confirmed;
  request.target_version = session.version;
  if (session.confirmed == session.version) return;
  if (session.confirmed == 0) {
    auto set = shard_sets_(server);
    request.grants = std::move(set.grants);
    for (const auto& [shard, epoch] : session.awaited)
      request.revocations.push_back({shard, epoch});
    return;
  }
  for (const auto& change : session.changes) {
    if (!change.revoked) request.grants.push_back(change.grant);
  }
  for (const auto& [shard, epoch] : session.awaited) request.revocations.push_back({shard, epoch});
}

Instant LeaseTable::NextAdvance() const {
  return due_.empty() ? Instant::max() : due_.begin()->first;
}

std::optional<Incarnation> LeaseTable::Successor(const ServerId& server, Instant now) const {
  const auto found = sessions_.find(server);
  if (found == sessions_.end()) return std::nullopt;
  const Session& session = found->second;
  if (now - session.reading_received >= session.lease) return std::nullopt;
  return session.successor;
}

std::vector<UnleasedIncarnation> LeaseTable::TakeUnleasedIncarnations() {
  return std::exchange(unleased_incarnations_, {});
}

std::vector<Release> LeaseTable::TakeReleases() { return std::exchange(releases_, {}); }

std::vector<std::pair<ServerId, bool>> LeaseTable::TakeLeavingChanges() {
  return std::exchange(leaving_changes_, {});
}

bool LeaseTable::Healthy(const ServerId& server, Instant now) const {
  const auto found = sessions_.find(server);
  if (found == sessions_.end() || found->second.state != State::kLeased) return false;
  const Session& session = found->second;
  if (session.successor) return false;
  return session.reading && now - session.reading_received < session.lease / 2;
}

bool LeaseTable::IsUnleased(const ServerId& server) const {
  const auto found = sessions_.find(server);
  return found != sessions_.end() && found->second.state == State::kUnleased;
}

Duration LeaseTable::Remaining(const ServerId& server, Instant now) const {
  const auto found = sessions_.find(server);
  if (found == sessions_.end() || found->second.state != State::kLeased) return Duration::zero();
  return std::max(Duration::zero(), found->second.expires_at - now);
}

double LeaseTable::LoadHint(const ServerId& server) const {
  const auto found = sessions_.find(server);
  return found == sessions_.end() ? 0.0 : found->second.load;
}

}  // namespace graniteseam::lease
