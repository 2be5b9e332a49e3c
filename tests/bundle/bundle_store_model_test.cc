/// @file
/// Random operators against the bundle store. The oracle keeps the whole history of what was
/// accepted, which the store does not, and judges each answer by it.

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>
#include <optional>

#include "graniteseam/bundle/bundle_store.h"
#include "graniteseam/bundle/signature.h"
#include "tests/bundle/bundle_samples.h"
#include "tests/support/fixed_seed.h"

using graniteseam::Attempt;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::test::kSampleToml;
using graniteseam::test::Parsed;
using namespace graniteseam::bundle;  // NOLINT(google-build-using-namespace)

namespace {

constexpr BundleStoreLimits kSmallLimits{
    .source_bytes_maximum = 100, .bundles_maximum = 4, .history_bytes_maximum = 1'000};

const KeyPair& Keys() {
  static const KeyPair keys = std::get<KeyPair>(Attempt([] { return GenerateKeyPair(); }));
  return keys;
}

/// One of three rival bundles of a version. Rival 2 has another shard count.
Bundle Rival(std::uint64_t version, int rival) {
  static const Bundle sample = Parsed(kSampleToml);
  Bundle bundle = sample;
  bundle.version.value = version;
  bundle.groups[0].share = rival + 1;
  for (Service& service : bundle.services) {
    if (rival == 2 && service.kind == ServiceKind::kKeyed) ++service.shard_count;
  }
  return bundle;
}

/// Everything that was ever accepted.
struct History {
  std::map<std::uint64_t, int> submitted;
  std::map<std::uint64_t, int> reviewed;
  std::map<std::uint64_t, int> rolled;
  std::uint64_t in_force = 0;
};

struct World {
  BundleStore store{kSmallLimits};
  History history;
};
struct Nothing {};
using WorldCommand = rc::state::Command<Nothing, World>;

template <class Function>
std::optional<ErrorKind> KindOf(const Function& function) {
  const auto outcome = Attempt(function);
  const auto* error = ErrorOf(outcome);
  return error == nullptr ? std::nullopt : std::optional(error->kind);
}

bool Has(const std::map<std::uint64_t, int>& history, std::uint64_t version, int rival) {
  const auto found = history.find(version);
  return found != history.end() && found->second == rival;
}

/// What must hold after every step.
void CheckStore(const World& world) {
  const History& history = world.history;
  RC_ASSERT(world.store.in_force_version().value == history.in_force);
  const auto records = world.store.Records();
  RC_ASSERT(records.size() <= kSmallLimits.bundles_maximum);
  for (const BundleRecord& record : records) {
    const int rival = history.submitted.at(record.version.value);
    RC_ASSERT(record.digest == Digest(Rival(record.version.value, rival)));
    RC_ASSERT(record.reviewer.empty() == !history.reviewed.contains(record.version.value));
  }
  if (history.in_force == 0) {
    RC_ASSERT(world.store.InForce() == nullptr);
    return;
  }
  const int rival = history.rolled.at(history.in_force);
  RC_ASSERT(*world.store.InForce() == Rival(history.in_force, rival));
}

struct VersionCommand : WorldCommand {
  std::uint64_t version = *rc::gen::inRange<std::uint64_t>(1, 9);
  int rival = *rc::gen::weightedElement<int>({{4, 0}, {2, 1}, {3, 2}});

  /// Whether the shard count is the one that was rolled first, if any was.
  bool KeepsShardCount(const History& history) const {
    if (history.rolled.empty()) return true;
    return (history.rolled.begin()->second == 2) == (rival == 2);
  }
};

struct Submit : VersionCommand {
  void run(const Nothing&, World& world) const override {
    History& history = world.history;
    const Bundle bundle = Rival(version, rival);
    const auto refused = KindOf([&] { return world.store.Submit(bundle, Digest(bundle), "text"); });
    const bool taken_by_other =
        history.submitted.contains(version) && !Has(history.submitted, version, rival);
    if (!refused) {
      RC_ASSERT(!taken_by_other);
      RC_ASSERT(Has(history.submitted, version, rival) || version > history.in_force);
      history.submitted[version] = rival;
    } else if (refused == ErrorKind::kVersionConflict) {
      RC_ASSERT(taken_by_other || version <= history.in_force);
    } else if (refused == ErrorKind::kFailedPrecondition) {
      RC_ASSERT(!KeepsShardCount(history));
    } else {
      RC_ASSERT(refused == ErrorKind::kOverloaded);
      RC_ASSERT(world.store.Records().size() == kSmallLimits.bundles_maximum);
      RC_ASSERT(world.store.Records().front().version.value >= history.in_force);
    }
    CheckStore(world);
  }
};

struct Sign : VersionCommand {
  bool by_author = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
  bool wrong_signature = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});

  void run(const Nothing&, World& world) const override {
    History& history = world.history;
    const Bundle bundle = Rival(version, rival);
    const graniteseam::BundleVersion signed_version{wrong_signature ? version + 1 : version};
    const auto signature = std::get<std::string>(Attempt(
        [&] { return SignDigest(Keys().private_key_base64, signed_version, Digest(bundle)); }));
    const auto refused = KindOf([&] {
      return world.store.Sign({{version},
                               Digest(bundle),
                               by_author ? "ayse" : "mehmet",
                               Keys().public_key_base64,
                               signature});
    });
    if (!refused) {
      RC_ASSERT(!by_author && !wrong_signature);
      RC_ASSERT(Has(history.submitted, version, rival));
      RC_ASSERT(version > history.in_force || history.reviewed.contains(version));
      history.reviewed[version] = rival;
    } else if (refused == ErrorKind::kPermissionDenied) {
      RC_ASSERT(by_author || wrong_signature);
    } else if (refused == ErrorKind::kVersionConflict) {
      RC_ASSERT(!Has(history.submitted, version, rival) || version < history.in_force);
    } else {
      RC_ASSERT(refused == ErrorKind::kNotFound);
      RC_ASSERT(!history.submitted.contains(version) || version < history.in_force);
    }
    CheckStore(world);
  }
};

struct Roll : VersionCommand {
  void run(const Nothing&, World& world) const override {
    History& history = world.history;
    const auto refused =
        KindOf([&] { return world.store.Roll({version}, Digest(Rival(version, rival))); });
    if (!refused) {
      RC_ASSERT(Has(history.reviewed, version, rival));
      RC_ASSERT(version > history.in_force || Has(history.rolled, version, rival));
      RC_ASSERT(KeepsShardCount(history));
      history.rolled[version] = rival;
      history.in_force = std::max(history.in_force, version);
    } else if (version > history.in_force && Has(history.reviewed, version, rival)) {
      RC_ASSERT(refused == ErrorKind::kFailedPrecondition && !KeepsShardCount(history));
    }
    CheckStore(world);
  }
};

struct SaveAndRestore : WorldCommand {
  void run(const Nothing&, World& world) const override {
    BundleStore restored{kSmallLimits};
    restored.Restore(world.store.Snapshot());
    RC_ASSERT(restored.Snapshot() == world.store.Snapshot());
    world.store = std::move(restored);
    CheckStore(world);
  }
};

}  // namespace

Test(bundle_store_model, no_answer_contradicts_the_history) {
  cr_assert(rc::check([] {
    World world;
    rc::state::check(Nothing{}, world,
                     rc::state::gen::execOneOfWithArgs<Submit, Submit, Sign, Sign, Roll, Roll,
                                                       SaveAndRestore>());
  }));
}
