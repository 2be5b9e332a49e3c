#include "graniteseam/bundle/bundle_store.h"

#include <criterion/criterion.h>

#include "graniteseam/bundle/signature.h"
#include "tests/bundle/bundle_samples.h"

using graniteseam::Attempt;
using graniteseam::BundleVersion;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::test::kSampleToml;
using graniteseam::test::Parsed;
using namespace graniteseam::bundle;  // NOLINT(google-build-using-namespace)

namespace {

const KeyPair& Keys() {
  static const KeyPair keys = std::get<KeyPair>(Attempt([] { return GenerateKeyPair(); }));
  return keys;
}

Bundle Sample(std::uint64_t version, double share = 1.0) {
  Bundle bundle = Parsed(kSampleToml);
  bundle.version.value = version;
  bundle.groups[0].share = share;
  return bundle;
}

template <class Function>
std::optional<ErrorKind> KindOf(const Function& function) {
  const auto outcome = Attempt(function);
  const auto* error = ErrorOf(outcome);
  return error == nullptr ? std::nullopt : std::optional(error->kind);
}

std::optional<ErrorKind> Submit(BundleStore& store, const Bundle& bundle,
                                const std::string& text = "text") {
  return KindOf([&] { return store.Submit(bundle, Digest(bundle), text); });
}

std::optional<ErrorKind> Sign(BundleStore& store, const Bundle& bundle,
                              const std::string& reviewer = "mehmet") {
  const auto signature = std::get<std::string>(Attempt(
      [&] { return SignDigest(Keys().private_key_base64, bundle.version, Digest(bundle)); }));
  return KindOf([&] {
    return store.Sign(
        {bundle.version, Digest(bundle), reviewer, Keys().public_key_base64, signature});
  });
}

std::optional<ErrorKind> Roll(BundleStore& store, const Bundle& bundle) {
  return KindOf([&] { return store.Roll(bundle.version, Digest(bundle)); });
}

void PutInForce(BundleStore& store, const Bundle& bundle) {
  cr_assert(!Submit(store, bundle).has_value());
  cr_assert(!Sign(store, bundle).has_value());
  cr_assert(!Roll(store, bundle).has_value());
}

}  // namespace

Test(bundle_store, gives_resends_the_same_answer_and_changes_nothing) {
  BundleStore store;
  const Bundle bundle = Sample(1);
  PutInForce(store, bundle);
  const auto before = store.Snapshot();
  cr_assert(!Submit(store, bundle).has_value());
  cr_assert(!Sign(store, bundle).has_value());
  cr_assert(!Roll(store, bundle).has_value());
  cr_assert(store.Snapshot() == before);
  cr_assert(store.InForce()->version.value == 1);
  cr_assert(store.InForceDigest() == Digest(bundle));
}

Test(bundle_store, lets_one_of_two_racers_with_equal_versions_win) {
  BundleStore store;
  const Bundle winner = Sample(5, 1.0);
  const Bundle loser = Sample(5, 2.0);
  cr_assert(!Submit(store, winner).has_value());
  cr_assert(Submit(store, loser) == ErrorKind::kVersionConflict);
  cr_assert(Sign(store, loser) == ErrorKind::kVersionConflict);
  cr_assert(Roll(store, loser) == ErrorKind::kVersionConflict);
  cr_assert(!Sign(store, winner).has_value());
  cr_assert(!Roll(store, winner).has_value());
  cr_assert(Submit(store, loser) == ErrorKind::kVersionConflict);
}

Test(bundle_store, never_goes_back_to_a_lower_version) {
  BundleStore store;
  const Bundle signed_lower = Sample(1);
  const Bundle unsigned_lower = Sample(2);
  Submit(store, signed_lower);
  Sign(store, signed_lower);
  Submit(store, unsigned_lower);
  PutInForce(store, Sample(3));
  cr_assert(Roll(store, signed_lower) == ErrorKind::kVersionConflict);
  cr_assert(Sign(store, unsigned_lower) == ErrorKind::kVersionConflict);
  cr_assert(Roll(store, unsigned_lower) == ErrorKind::kVersionConflict);
  cr_assert(store.Records()[0].state == BundleState::kSuperseded);
  PutInForce(store, Sample(4));
  cr_assert(!Roll(store, Sample(3)).has_value(), "a resent roll is answered as the first time");
  cr_assert(store.in_force_version().value == 4);
}

Test(bundle_store, rolls_only_what_someone_else_reviewed) {
  BundleStore store;
  const Bundle bundle = Sample(1);
  cr_assert(Sign(store, bundle) == ErrorKind::kNotFound);
  Submit(store, bundle);
  cr_assert(Roll(store, bundle) == ErrorKind::kFailedPrecondition);
  cr_assert(Sign(store, bundle, "ayse") == ErrorKind::kPermissionDenied);
  cr_assert(Sign(store, bundle, "Ayse") == ErrorKind::kPermissionDenied);
  const auto wrong = KindOf([&] {
    return store.Sign({bundle.version, Digest(bundle), "mehmet", Keys().public_key_base64,
                       std::string(86, 'A') + "=="});
  });
  cr_assert(wrong == ErrorKind::kPermissionDenied);
  cr_assert(Roll(store, bundle) == ErrorKind::kFailedPrecondition);
  cr_assert(!Sign(store, bundle).has_value());
  cr_assert(!Sign(store, bundle, "zeynep").has_value());
  cr_assert(store.Records()[0].reviewer == "mehmet", "the first review stays");
}

Test(bundle_store, keeps_what_is_fixed_for_a_services_life) {
  BundleStore store;
  PutInForce(store, Sample(1));
  Bundle without = Sample(2);
  without.services = {*without.FindService({"billing"})};
  without.groups[0].services = {{"billing"}};
  PutInForce(store, without);
  Bundle other_count = Sample(3);
  other_count.services[1].shard_count += 1;
  cr_assert(Submit(store, other_count) == ErrorKind::kFailedPrecondition,
            "the shards' epochs go on while no bundle names the service");
  cr_assert(!Submit(store, Sample(3)).has_value());
}

Test(bundle_store, checks_the_fixed_parts_again_when_rolled) {
  BundleStore store;
  Bundle other_count = Sample(2);
  other_count.services[1].shard_count += 1;
  Submit(store, other_count);
  Sign(store, other_count);
  PutInForce(store, Sample(1));
  cr_assert(Roll(store, other_count) == ErrorKind::kFailedPrecondition);
}

Test(bundle_store, bounds_what_it_keeps_and_never_forgets_what_waits) {
  BundleStore store(
      {.source_bytes_maximum = 10, .bundles_maximum = 3, .history_bytes_maximum = 20});
  cr_assert(Submit(store, Sample(1), std::string(11, 'x')) == ErrorKind::kTooLarge);
  for (std::uint64_t version = 1; version <= 3; ++version) {
    cr_assert(!Submit(store, Sample(version)).has_value());
  }
  cr_assert(Submit(store, Sample(4)) == ErrorKind::kOverloaded);
  Sign(store, Sample(2));
  Roll(store, Sample(2));
  cr_assert(!Submit(store, Sample(4)).has_value());
  cr_assert(store.Records().front().version.value == 2);
  cr_assert(Submit(store, Sample(1)) == ErrorKind::kVersionConflict, "dropped, but never back");
  cr_assert(Submit(store, Sample(5), std::string(10, 'x')) == ErrorKind::kOverloaded);
  cr_assert(store.in_force_version().value == 2);
}

Test(bundle_store, comes_back_whole_from_a_snapshot) {
  BundleStore store;
  PutInForce(store, Sample(1));
  Submit(store, Sample(2));
  BundleStore restored;
  restored.Restore(store.Snapshot());
  cr_assert(restored.Snapshot() == store.Snapshot());
  cr_assert(Submit(restored, Sample(2, 9.0)) == ErrorKind::kVersionConflict);
  cr_assert(!Sign(restored, Sample(2)).has_value());
  cr_assert(!Roll(restored, Sample(2)).has_value());
}

Test(bundle_store, trusts_only_the_reviewers_of_the_settings) {
  const std::map<std::string, std::string> keys = {{"mehmet", "key"}};
  cr_assert(std::get<std::string>(Attempt([&] { return TrustedKey(keys, "mehmet"); })) == "key");
  cr_assert(KindOf([&] { return TrustedKey(keys, "ayse"); }) == ErrorKind::kPermissionDenied);
}
