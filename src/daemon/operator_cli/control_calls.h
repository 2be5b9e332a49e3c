/// @file
/// Typed calls of the operators' interface, shared by the commands.
#pragma once

#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/consensus/types.h"
#include "graniteseam/control/operator_messages.h"
#include "src/daemon/operator_cli/command.h"

namespace graniteseam::operator_cli {

Result<control::BundlesView> GetBundles(const CommandContext& context);
Result<control::FleetView> GetFleet(const CommandContext& context);
/// @param service empty for all.
Result<control::ShardsView> GetShards(const CommandContext& context, const std::string& service);
/// Asks one process for its own member record.
Result<consensus::Member> GetMember(const CommandContext& context,
                                    const runtime::SocketAddress& address);

/// Sends a change to the leader.
Result<control::Accepted> Change(const CommandContext& context, const std::string& path,
                                 const std::string& body);

/// Escapes text for one segment of a URL's path (RFC 3986, section 2.1).
std::string PathSegment(const std::string& text);

/// Reads a number of decimal digits.
/// @param what names it in the error.
Result<std::uint64_t> ParseNumber(const std::string& text, const std::string& what);

}  // namespace graniteseam::operator_cli
