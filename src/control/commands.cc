#include "src/control/commands.h"

#include <utility>

#include "graniteseam/codec/codec.h"

namespace graniteseam::control {

std::string EncodeCommand(const CommandBody& body) { return codec::Encode(Command{body}); }

Result<CommandBody> DecodeCommand(std::string_view payload) {
  const auto decoded = Attempt([&] { return codec::Decode<Command>(payload); });
  if (ErrorOf(decoded) == nullptr) return std::get<Command>(decoded).body;
  // Earlier releases, without tenants, encoded ConfigurationChange without the tenancy fields.
  // Those are last, so appending the encoding of an empty tenancy change completes such an entry.
  const std::string empty_tenancy = codec::Encode(traffic::TenancyChange{});
  BOOST_LEAF_AUTO(command, codec::Decode<Command>(std::string(payload) + empty_tenancy));
  return std::move(command.body);
}

}  // namespace graniteseam::control
