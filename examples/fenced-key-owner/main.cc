/// @file
/// A server that owns keys exclusively, without any daemon: two servers share one shard, and the
/// program that grants it moves the shard while the old owner is frozen. Shows that the old owner
/// finds its lease over when it wakes, and that a replayed grant does not bring it back.
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "graniteseam/common/error.h"
#include "graniteseam/lease/fenced_owner.h"

namespace {

using graniteseam::Attempt;
using graniteseam::Duration;
using graniteseam::Epoch;
using graniteseam::ErrorOf;
using graniteseam::Incarnation;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::ServerId;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using graniteseam::Term;
using graniteseam::lease::FencedOwner;
using graniteseam::lease::LeaseAnswer;
using graniteseam::lease::LeaseRequest;
using graniteseam::lease::ShardGrant;

constexpr Duration kLease{600'000};

const ShardId kShard{ServiceName{"meters"}, 7};

/// Grants `shards` to one server, with a lease that ends `kLease` after the server's last reading.
class Granter {
 public:
  Granter(ServerId server, FencedOwner& owner) : server_(std::move(server)), owner_(owner) {}

  /// Asks the server for its incarnation and clock reading; a lease needs both.
  LeaseAnswer Hello(Instant server_clock) {
    return Send(LeaseRequest{.server = server_, .order = NextOrder()}, server_clock);
  }

  /// Grants one shard on the strength of the server's newest reading.
  LeaseAnswer Grant(const ShardGrant& grant, Instant server_clock) {
    LeaseRequest request{.server = server_, .order = NextOrder()};
    request.incarnation = last_answer_.incarnation;
    request.valid_until = last_answer_.reading + kLease;
    request.target_version = last_answer_.shard_set_version + 1;
    request.grants = {grant};
    last_request_ = request;
    return Send(request, server_clock);
  }

  /// Delivers the last grant again, as a network may.
  LeaseAnswer Replay(Instant server_clock) { return owner_.Take(last_request_, server_clock); }

 private:
  graniteseam::lease::MessageOrder NextOrder() { return {Term{1}, ++sequence_}; }

  LeaseAnswer Send(const LeaseRequest& request, Instant server_clock) {
    last_answer_ = owner_.Take(request, server_clock);
    return last_answer_;
  }

  ServerId server_;
  FencedOwner& owner_;
  LeaseAnswer last_answer_;
  LeaseRequest last_request_;
  std::uint64_t sequence_ = 0;
};

/// Runs one request as a server would: check, work, check again as the effect becomes durable.
bool RunRequest(FencedOwner& owner, const ShardGrant& grant, Instant clock) {
  const auto begun = Attempt([&] { return owner.Begin(grant, clock); });
  if (const auto* error = ErrorOf(begun)) {
    std::cout << "  not run: " << error->message << '\n';
    return false;
  }
  const bool durable = ErrorOf(Attempt([&] { return owner.Commit(grant, clock); })) == nullptr;
  owner.End(grant);
  std::cout << (durable ? "  ran\n" : "  outcome unknown\n");
  return durable;
}

bool Expect(bool condition, std::string_view what) {
  if (!condition) std::cout << "BROKEN: " << what << '\n';
  return condition;
}

}  // namespace

int main() {
  FencedOwner old_owner(ServerId{"meters-1"}, Incarnation{41});
  FencedOwner new_owner(ServerId{"meters-2"}, Incarnation{97});
  Granter old_granter(ServerId{"meters-1"}, old_owner);
  Granter new_granter(ServerId{"meters-2"}, new_owner);
  const ShardGrant first{kShard, Epoch{1}};
  const ShardGrant second{kShard, Epoch{2}};
  bool sound = true;

  // Each machine's clock has an origin of its own; here they differ by an hour.
  const Instant old_clock = InstantFromMicros(1'000'000);
  const Instant new_clock = old_clock + std::chrono::hours(1);

  old_granter.Hello(old_clock);
  old_granter.Grant(first, old_clock);
  std::cout << "meters-1 owns the shard at epoch 1:\n";
  sound &= Expect(RunRequest(old_owner, first, old_clock), "the owner must run the request");

  std::cout << "meters-1 freezes; its lease is counted out, meters-2 gets epoch 2:\n";
  const Duration frozen = kLease + Duration(1'000);
  new_granter.Hello(new_clock + frozen);
  new_granter.Grant(second, new_clock + frozen);
  sound &= Expect(RunRequest(new_owner, second, new_clock + frozen), "the new owner must run it");

  std::cout << "meters-1 wakes:\n";
  const Instant woken = old_clock + frozen;
  sound &= Expect(!RunRequest(old_owner, first, woken), "the old owner must refuse");
  std::cout << "meters-1 gets its old grant once more:\n";
  old_granter.Replay(woken);
  sound &= Expect(!RunRequest(old_owner, first, woken), "a replayed grant must change nothing");

  return sound ? EXIT_SUCCESS : EXIT_FAILURE;
}
