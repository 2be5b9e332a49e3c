/// @file
/// The commands that look at bundles.

#include <ostream>

#include "src/daemon/operator_cli/bundle_reference.h"
#include "src/daemon/operator_cli/command.h"
#include "src/daemon/operator_cli/control_calls.h"
#include "src/daemon/operator_cli/json_output.h"
#include "src/daemon/operator_cli/table.h"

namespace graniteseam::operator_cli {
namespace {

constexpr std::size_t kDigestShown = 12;

std::string StateText(bundle::BundleState state) {
  switch (state) {
    case bundle::BundleState::kSubmitted:
      return "submitted";
    case bundle::BundleState::kSigned:
      return "signed";
    case bundle::BundleState::kRolled:
      return "rolled";
    case bundle::BundleState::kSuperseded:
      break;
  }
  return "superseded";
}

void PrintRecords(std::ostream& out, const control::BundlesView& view) {
  Table table({"VERSION", "STATE", "DIGEST", "AUTHOR", "REVIEWER"});
  for (const bundle::BundleRecord& record : view.bundles) {
    const bool in_force = record.version == view.in_force;
    table.AddRow({std::to_string(record.version.value),
                  in_force ? "in force" : StateText(record.state),
                  record.digest.substr(0, kDigestShown), record.author, record.reviewer});
  }
  table.Print(out);
}

/// Without the source texts, which can be megabytes.
control::BundlesView WithoutTexts(control::BundlesView view) {
  for (bundle::BundleRecord& record : view.bundles) record.source_text.clear();
  return view;
}

/// A bundle to compare: a file's, or that of a version which control keeps.
Result<bundle::Bundle> ReadOrFetch(const CommandContext& context, const std::string& argument) {
  if (!IsVersion(argument)) {
    BOOST_LEAF_AUTO(local, ReadBundleFile(context, argument));
    return local.bundle;
  }
  BOOST_LEAF_AUTO(version, ParseNumber(argument, "version"));
  BOOST_LEAF_AUTO(view, GetBundles(context));
  BOOST_LEAF_AUTO(record, FindRecord(view, {version}));
  return bundle::ParseBundle(record.source_text, "version " + argument);
}

Result<bundle::Bundle> FetchInForce(const CommandContext& context) {
  BOOST_LEAF_AUTO(view, GetBundles(context));
  if (view.in_force.value == 0) {
    return Fail(ErrorKind::kNotFound, "No bundle is in force yet.",
                "Name a second bundle to compare with.");
  }
  BOOST_LEAF_AUTO(record, FindRecord(view, view.in_force));
  return bundle::ParseBundle(record.source_text, "the bundle in force");
}

void PrintChange(std::ostream& out, const bundle::FieldChange& change) {
  if (change.before.has_value()) out << "- " << change.path << " = " << *change.before << "\n";
  if (change.after.has_value()) out << "+ " << change.path << " = " << *change.after << "\n";
}

}  // namespace

Result<void> BundleStatus(const CommandContext& context) {
  BOOST_LEAF_AUTO(view, GetBundles(context));
  if (context.options.json) {
    PrintJson(context.out, WithoutTexts(view));
    return {};
  }
  PrintRecords(context.out, view);
  context.out << "\n";
  Table processes({"PROCESS", "KIND", "VERSION", "HEARD OF"});
  for (const control::ProcessVersion& process : view.processes) {
    processes.AddRow({process.process, process.kind, std::to_string(process.version.value),
                      std::to_string(process.age_ms) + " ms ago"});
  }
  processes.Print(context.out);
  return {};
}

Result<void> BundleHistory(const CommandContext& context) {
  BOOST_LEAF_AUTO(view, GetBundles(context));
  if (!context.arguments.empty()) {
    BOOST_LEAF_AUTO(version, ParseNumber(context.arguments[0], "version"));
    BOOST_LEAF_AUTO(record, FindRecord(view, {version}));
    if (context.options.json) {
      PrintJson(context.out, record);
    } else {
      context.out << record.source_text;
    }
    return {};
  }
  if (context.options.json) {
    PrintJson(context.out, WithoutTexts(view));
  } else {
    PrintRecords(context.out, view);
  }
  return {};
}

Result<void> BundleDiff(const CommandContext& context) {
  BOOST_LEAF_AUTO(after, ReadOrFetch(context, context.arguments[0]));
  BOOST_LEAF_AUTO(before, context.arguments.size() > 1 ? ReadOrFetch(context, context.arguments[1])
                                                       : FetchInForce(context));
  const auto changes = bundle::Compare(before, after);
  if (context.options.json) {
    PrintJson(context.out, DiffAnswer{before.version, after.version, changes});
    return {};
  }
  for (const bundle::FieldChange& change : changes) PrintChange(context.out, change);
  if (changes.empty()) context.out << "The two bundles are the same.\n";
  return {};
}

}  // namespace graniteseam::operator_cli
