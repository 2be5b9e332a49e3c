#include <algorithm>

#include "simulation/simulator/reviewer.h"
#include "simulation/simulator/users.h"

namespace graniteseam::simulation {

namespace {

constexpr Duration kAnswerTimeout{600'000};
constexpr std::uint32_t kAskTries = 40;
constexpr Duration kWorkMinimum{300'000};
constexpr Duration kWorkMaximum{2'500'000};
constexpr Duration kReplaceInterval{400'000};
constexpr Duration kDrainLength{5'000'000};

const Error* ErrorIn(const control::OperatorAnswer& answer) { return std::get_if<Error>(&answer); }

}  // namespace

void Operators::Start() {
  RollBundle(++last_version_, 0);
  world_.queue.After(kWorkMaximum, [this] { Work(); });
  ReplaceDisks();
}

void Operators::Work() {
  if (resting_) return;
  switch (world_.random.Below(4)) {
    case 0:
      RaceBundles();
      break;
    case 1:
      DrainSomeServer();
      break;
    default:
      MoveSomeShard();
      break;
  }
  world_.queue.After(world_.random.Between(kWorkMinimum, kWorkMaximum), [this] { Work(); });
}

void Operators::AskUntilAnswered(const control::OperatorRequest& request, const Handler& handler,
                                 std::uint32_t tries) {
  if (tries >= kAskTries) return;
  const auto answered = std::make_shared<bool>(false);
  ControlProcess* leader = world_.random.Chance(0.7) ? fleet_.Leader() : nullptr;
  const std::uint32_t to =
      (leader != nullptr ? *leader : fleet_.AnyStandingControl()).name().number;
  const auto again = [this, request, handler, tries] {
    world_.Count("operator requests resent");
    AskUntilAnswered(request, handler, tries + 1);
  };
  fleet_.Ask(to, request, [this, handler, answered, again](const control::OperatorAnswer& answer) {
    if (*answered) return;
    *answered = true;
    const Error* error = ErrorIn(answer);
    const bool elsewhere = error != nullptr && (error->kind == ErrorKind::kNotLeader ||
                                                error->kind == ErrorKind::kOutcomeUnknown);
    if (elsewhere) {
      world_.queue.After(kAnswerTimeout / 4, again);
    } else {
      handler(answer);
    }
  });
  world_.queue.After(kAnswerTimeout, [answered, again] {
    if (*answered) return;
    *answered = true;
    again();
  });
}

void Operators::RaceBundles() {
  const std::uint64_t version = ++last_version_;
  world_.Count("bundle races");
  RollBundle(version, 1);
  world_.queue.After(world_.Delay(), [this, version] { RollBundle(version, 2); });
}

void Operators::RollBundle(std::uint64_t version, std::uint32_t variant) {
  const bundle::Bundle bundle = MakeBundle(version, variant);
  const std::string digest = bundle::Digest(bundle);
  const auto rolled = [this, version, digest](const control::OperatorAnswer& answer) {
    if (ErrorIn(answer) != nullptr) return;
    world_.Count("bundles rolled");
    world_.oracle.OnBundleAccepted(version, digest, true, world_.now());
  };
  const auto signed_bundle = [this, version, digest,
                              rolled](const control::OperatorAnswer& answer) {
    if (ErrorIn(answer) != nullptr) return;
    AskUntilAnswered(control::RollBundle{BundleVersion{version}, digest}, rolled);
  };
  const auto submitted = [this, bundle, digest,
                          signed_bundle](const control::OperatorAnswer& answer) {
    if (ErrorIn(answer) != nullptr) {
      world_.Count("bundles refused");
      return;
    }
    world_.oracle.OnBundleAccepted(bundle.version.value, digest, false, world_.now());
    const control::SignBundle request{bundle.version, digest, kReviewerName, Sign(bundle, digest)};
    AskUntilAnswered(request, signed_bundle);
  };
  AskUntilAnswered(control::SubmitBundle{bundle, digest, "text"}, submitted);
}

void Operators::MoveSomeShard() {
  const bool transcripts = world_.random.Chance(0.5);
  const std::uint32_t first = transcripts ? 0 : 3;
  const auto& target = *fleet_.servers[first + world_.random.Below(3)];
  control::MoveShard request;
  request.shard = {ServiceName{transcripts ? kTranscripts : kShutOffs},
                   static_cast<std::uint32_t>(world_.random.Below(kShards))};
  request.target = ServerId{target.id()};
  AskUntilAnswered(request, [this](const control::OperatorAnswer& answer) {
    if (ErrorIn(answer) == nullptr) world_.Count("shard moves accepted");
  });
}

void Operators::DrainSomeServer() {
  // Each server at most once a run: a late resend of the drain's end must not meet a second drain.
  const auto& server = *fleet_.servers[world_.random.Below(fleet_.servers.size())];
  const std::string id = server.id();
  const bool service_busy = std::any_of(drained_.begin(), drained_.end(), [&](const auto& other) {
    return fleet_.ServerById(other)->service() == server.service();
  });
  if (service_busy || !drained_.insert(id).second) return;
  AskUntilAnswered(control::DrainServer{ServerId{id}, true},
                   [this, id](const control::OperatorAnswer& answer) {
                     if (ErrorIn(answer) != nullptr) return;
                     world_.Count("drains accepted");
                     world_.oracle.OnDrainAccepted(id, true, world_.now());
                     world_.queue.After(kDrainLength, [this, id] {
                       world_.oracle.OnDrainAccepted(id, false, world_.now());
                       AskUntilAnswered(control::DrainServer{ServerId{id}, false},
                                        [](const control::OperatorAnswer&) {});
                     });
                   });
}

void Operators::ReplaceDisks() {
  ControlProcess* leader = fleet_.Leader();
  if (leader != nullptr) {
    std::vector<std::uint32_t> replaced;
    for (auto& [control, replacement] : lost_disks_) {
      ReplaceDisk(*leader, control, replacement);
      const auto& consensus = leader->node().consensus();
      const bool committed = replacement.index != 0 && replacement.term == consensus.term().value &&
                             consensus.commit_index().value >= replacement.index;
      if (committed) replaced.push_back(control);
    }
    for (const std::uint32_t control : replaced) {
      lost_disks_.erase(control);
      world_.Count("lost disks replaced");
    }
  }
  world_.queue.After(kReplaceInterval, [this] { ReplaceDisks(); });
}

void Operators::ReplaceDisk(ControlProcess& leader, std::uint32_t control,
                            Replacement& replacement) {
  using Kind = control::ChangeMembership::Kind;
  const auto& consensus = leader.node().consensus();
  const auto is_it = [&](const consensus::Member& member) { return member.id.value == control; };
  const auto ask = [&](Kind kind, const consensus::Member& member) {
    fleet_.Ask(leader.name().number, control::ChangeMembership{kind, member},
               [](const control::OperatorAnswer&) {});
  };
  const std::uint64_t disk = fleet_.controls[control - 1]->present_disk();
  std::optional<consensus::Member> old_voter;
  bool present_votes = false;
  for (const auto& voter : consensus.membership().voters) {
    if (!is_it(voter)) continue;
    if (voter.disk.value == disk) {
      present_votes = true;
    } else {
      old_voter = voter;
    }
  }
  if (present_votes && old_voter) {
    ask(Kind::kRemove, *old_voter);
    return;
  }
  if (present_votes) {
    if (replacement.index == 0 || replacement.term != consensus.term().value) {
      replacement = {consensus.last_index().value, consensus.term().value};
    }
    return;
  }
  replacement = {};
  for (const auto& learner : consensus.membership().learners) {
    if (!is_it(learner)) continue;
    ask(learner.disk.value == disk ? Kind::kPromote : Kind::kRemove, learner);
    return;
  }
  for (const auto& announced : consensus.announced()) {
    if (is_it(announced) && announced.disk.value == disk) ask(Kind::kAddLearner, announced);
  }
}

}  // namespace graniteseam::simulation
