/// @file
/// Bodies at the HTTP adapters: operators' requests and answers, servers' lease answers.
#include <string>

#include "fuzz/fuzz_target.h"
#include "graniteseam/common/error.h"
#include "src/http/caller_request_parser.h"
#include "src/http/lease_json.h"
#include "src/http/operator_json.h"
#include "src/http/platform_poller.h"

namespace {

template <class Reader>
void Read(Reader reader, const std::string& text) {
  const auto read = graniteseam::Attempt([&] { return reader(text); });
  static_cast<void>(read);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace graniteseam::http;
  const std::string text(reinterpret_cast<const char*>(data), size);
  Read(ReadSubmitBody, text);
  Read(ReadSignatureBody, text);
  Read(ReadRollBody, text);
  Read(ReadMoveBody, text);
  Read(ReadMembershipBody, text);
  Read(ReadAccepted, text);
  Read(ReadBundlesView, text);
  Read(ReadFleetView, text);
  Read(ReadShardsView, text);
  Read(DecodePercent, text);
  Read(ReadMachines, text);
  Read([](const std::string& body) { return ReadLeaseAnswer(body, {}); }, text);
  return 0;
}
