/// @file
/// What commands print with --json, besides the views of the operators' interface.
#pragma once

#include <boost/describe/class.hpp>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/bundle/bundle.h"
#include "graniteseam/control/operator_messages.h"
#include "src/daemon/operator_cli/event_story.h"
#include "src/daemon/operator_cli/loss_report.h"

namespace graniteseam::operator_cli {

/// Of `bundle check|digest|submit|sign|roll`. The index is that of the change, where there is one.
struct BundleAnswer {
  BundleVersion version;
  std::string digest;
  std::optional<LogIndex> index;
};
BOOST_DESCRIBE_STRUCT(BundleAnswer, (), (version, digest, index))

/// Of `bundle diff`.
struct DiffAnswer {
  BundleVersion before;
  BundleVersion after;
  std::vector<bundle::FieldChange> changes;
};
BOOST_DESCRIBE_STRUCT(DiffAnswer, (), (before, after, changes))

/// Of `key generate`.
struct KeyAnswer {
  std::string public_key;
};
BOOST_DESCRIBE_STRUCT(KeyAnswer, (), (public_key))

void PrintJson(std::ostream& out, const BundleAnswer& answer);
void PrintJson(std::ostream& out, const DiffAnswer& answer);
void PrintJson(std::ostream& out, const KeyAnswer& answer);
void PrintJson(std::ostream& out, const bundle::BundleRecord& record);
void PrintJson(std::ostream& out, const control::Accepted& answer);
void PrintJson(std::ostream& out, const control::BundlesView& view);
void PrintJson(std::ostream& out, const control::FleetView& view);
void PrintJson(std::ostream& out, const control::ShardsView& view);
void PrintJson(std::ostream& out, const consensus::Member& member);
void PrintJson(std::ostream& out, const RequestStory& story);
void PrintJson(std::ostream& out, const std::vector<LoggedEvent>& line);
void PrintJson(std::ostream& out, const LossReport& report);

}  // namespace graniteseam::operator_cli
