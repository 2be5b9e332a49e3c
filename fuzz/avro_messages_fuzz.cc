/// @file
/// Avro decoding of what peers, routers and the disk hand in. What decodes must encode again.
#include <cstdlib>
#include <string_view>

#include "fuzz/fuzz_target.h"
#include "graniteseam/codec/codec.h"
#include "graniteseam/consensus/types.h"
#include "graniteseam/control/router_messages.h"
#include "src/coordination/slot_messages.h"

namespace {

template <class Message>
void DecodeAs(std::string_view bytes) {
  using namespace graniteseam;
  const auto decoded = Attempt([&] { return codec::Decode<Message>(bytes); });
  if (ErrorOf(decoded) != nullptr) return;
  const std::string encoded = codec::Encode(std::get<Message>(decoded));
  const auto again = Attempt([&] { return codec::Decode<Message>(encoded); });
  if (ErrorOf(again) != nullptr) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace graniteseam;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  DecodeAs<consensus::PeerMessage>(bytes);
  DecodeAs<consensus::Membership>(bytes);
  DecodeAs<control::RouterRenewal>(bytes);
  DecodeAs<control::RouterRenewalAnswer>(bytes);
  DecodeAs<control::JournalRequest>(bytes);
  DecodeAs<control::JournalAnswer>(bytes);
  DecodeAs<coordination::SlotBatch>(bytes);
  return 0;
}
