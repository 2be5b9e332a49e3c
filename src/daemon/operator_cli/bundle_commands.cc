/// @file
/// The commands that change or check bundles.

#include <ostream>
#include <thread>

#include "graniteseam/bundle/signature.h"
#include "src/daemon/operator_cli/bundle_reference.h"
#include "src/daemon/operator_cli/command.h"
#include "src/daemon/operator_cli/control_calls.h"
#include "src/daemon/operator_cli/files.h"
#include "src/daemon/operator_cli/json_output.h"
#include "src/runtime/clock.h"

namespace graniteseam::operator_cli {
namespace {

constexpr Duration kStatusPause{200'000};

std::string VersionPath(BundleVersion version) {
  return "/v1/bundles/" + std::to_string(version.value);
}

/// Prints what became of a bundle, as "Version 3 is submitted. Digest: ...".
void PrintAnswer(const CommandContext& context, const BundleAnswer& answer,
                 const std::string& state) {
  if (context.options.json) {
    PrintJson(context.out, answer);
    return;
  }
  context.out << "Version " << answer.version.value << " is " << state
              << ". Digest: " << answer.digest << "\n";
}

/// How many processes do not show the version yet.
std::size_t ProcessesBehind(const control::BundlesView& view, BundleVersion version) {
  std::size_t behind = 0;
  for (const control::ProcessVersion& process : view.processes) {
    if (process.version < version) ++behind;
  }
  return behind;
}

Result<void> WaitUntilInForce(const CommandContext& context, BundleVersion version) {
  const Instant end = runtime::BootTimeNow() + context.options.time_limit;
  while (true) {
    BOOST_LEAF_AUTO(view, GetBundles(context));
    const std::size_t behind = ProcessesBehind(view, version);
    if (view.in_force >= version && behind == 0) return {};
    if (runtime::BootTimeNow() >= end) {
      return Fail(ErrorKind::kUnavailable,
                  "Version " + std::to_string(version.value) + " is rolled, but " +
                      std::to_string(behind) + " processes have not shown it in time.",
                  "Look at `graniteseamctl bundle status`; a router that can't show it serves "
                  "nobody.");
    }
    std::this_thread::sleep_for(kStatusPause);
  }
}

}  // namespace

Result<void> BundleCheck(const CommandContext& context) {
  BOOST_LEAF_AUTO(local, ReadBundleFile(context, context.arguments[0]));
  PrintAnswer(context, {local.bundle.version, local.digest, std::nullopt}, "in order");
  return {};
}

Result<void> BundleDigest(const CommandContext& context) {
  BOOST_LEAF_AUTO(local, ReadBundleFile(context, context.arguments[0]));
  if (context.options.json) {
    PrintJson(context.out, BundleAnswer{local.bundle.version, local.digest, std::nullopt});
  } else {
    context.out << local.digest << "\n";
  }
  return {};
}

Result<void> BundleSubmit(const CommandContext& context) {
  BOOST_LEAF_AUTO(local, ReadBundleFile(context, context.arguments[0]));
  BOOST_LEAF_AUTO(
      accepted, Change(context, "/v1/bundles", http::ToJson(http::SubmitBody{local.source_text})));
  PrintAnswer(context, {local.bundle.version, local.digest, accepted.index}, "submitted");
  return {};
}

Result<void> BundleSign(const CommandContext& context) {
  const Options& options = context.options;
  if (options.reviewer.empty() || options.key_file.empty()) {
    return Fail(ErrorKind::kInvalidArgument, "A signature needs a reviewer and a key.",
                "Give --reviewer NAME and --key-file FILE.");
  }
  BOOST_LEAF_AUTO(reference, ResolveReference(context, context.arguments[0]));
  if (reference.digest.empty()) {
    // Taking it from control would let control choose what the reviewer signs.
    return Fail(ErrorKind::kInvalidArgument, "A signature by version needs the digest reviewed.",
                "Name the bundle's file, or give --digest as `bundle digest FILE` prints it.");
  }
  BOOST_LEAF_AUTO(private_key, ReadFirstLine(options.key_file));
  BOOST_LEAF_AUTO(signature, bundle::SignDigest(private_key, reference.version, reference.digest));
  const http::SignatureBody body{reference.digest, options.reviewer, signature};
  BOOST_LEAF_AUTO(accepted, Change(context, VersionPath(reference.version) + "/signatures",
                                   http::ToJson(body)));
  PrintAnswer(context, {reference.version, reference.digest, accepted.index}, "signed");
  return {};
}

Result<void> BundleRoll(const CommandContext& context) {
  BOOST_LEAF_AUTO(reference, ResolveReference(context, context.arguments[0]));
  if (reference.digest.empty()) {
    BOOST_LEAF_AUTO(view, GetBundles(context));
    BOOST_LEAF_AUTO(record, FindRecord(view, reference.version));
    reference.digest = record.digest;
  }
  BOOST_LEAF_AUTO(accepted, Change(context, VersionPath(reference.version) + "/roll",
                                   http::ToJson(http::RollBody{reference.digest})));
  if (context.options.wait) BOOST_LEAF_CHECK(WaitUntilInForce(context, reference.version));
  PrintAnswer(context, {reference.version, reference.digest, accepted.index},
              context.options.wait ? "in force everywhere" : "rolled");
  return {};
}

}  // namespace graniteseam::operator_cli
