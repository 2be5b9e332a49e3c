#include "src/control/commands.h"

#include <utility>

#include "graniteseam/codec/codec.h"

namespace graniteseam::control {

std::string EncodeCommand(const CommandBody& body) { return codec::Encode(Command{body}); }

Result<CommandBody> DecodeCommand(std::string_view payload) {
  BOOST_LEAF_AUTO(command, codec::Decode<Command>(payload));
  return std::move(command.body);
}

}  // namespace graniteseam::control
