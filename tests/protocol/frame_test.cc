#include "src/protocol/frame.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "src/protocol/hello.h"
#include "tests/support/fixed_seed.h"

namespace protocol = graniteseam::protocol;
using graniteseam::Attempt;
using graniteseam::Error;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::protocol::Frame;
using graniteseam::protocol::FrameKind;
using graniteseam::protocol::FrameReader;

namespace {

graniteseam::Outcome<std::optional<Frame>> Next(FrameReader& reader) {
  return Attempt([&] { return reader.Next(); });
}

std::string Header(std::uint32_t length, unsigned char kind) {
  std::string header;
  for (int shift = 24; shift >= 0; shift -= 8) {
    header += static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU);
  }
  return header + static_cast<char>(kind);
}

}  // namespace

Test(frame, reads_back_frames_however_the_stream_is_cut) {
  const bool held = rc::check([](const std::vector<std::string>& payloads) {
    std::string stream;
    for (const std::string& payload : payloads) {
      stream += protocol::EncodeFrame(FrameKind::kMessage, payload);
    }
    FrameReader reader;
    std::vector<std::string> read;
    while (!stream.empty()) {
      const auto cut =
          *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(stream.size(), 40) + 1);
      reader.Feed(stream.substr(0, cut));
      stream.erase(0, cut);
      for (;;) {
        auto frame = std::get<std::optional<Frame>>(Next(reader));
        if (!frame) break;
        read.push_back(frame->payload);
      }
    }
    RC_ASSERT(read == payloads);
    RC_ASSERT(!reader.InFrame());
  });
  cr_assert(held);
}

Test(frame, refuses_what_is_too_long_before_it_arrives) {
  FrameReader reader;
  reader.Feed(Header(protocol::kHelloPayloadMaximum + 1, 1));
  auto outcome = Next(reader);
  const Error* error = ErrorOf(outcome);
  cr_assert(error != nullptr && error->kind == ErrorKind::kTooLarge);
  FrameReader ready;
  ready.set_payload_limit(protocol::kFramePayloadMaximum);
  ready.Feed(Header(0xffffffffU, 2));
  outcome = Next(ready);
  error = ErrorOf(outcome);
  cr_assert(error != nullptr && error->kind == ErrorKind::kTooLarge);
}

Test(frame, refuses_unknown_kinds) {
  for (const unsigned char kind : {0, 5, 255}) {
    FrameReader reader;
    reader.Feed(Header(0, kind));
    const auto outcome = Next(reader);
    const Error* error = ErrorOf(outcome);
    cr_assert(error != nullptr && error->kind == ErrorKind::kMalformedMessage);
  }
}

Test(hello, agrees_on_the_newest_version_that_both_know) {
  protocol::Hello old_release;
  old_release.newest_version = 3;
  old_release.oldest_version = 2;
  old_release.schema_fingerprint = 1;
  protocol::Hello new_release;
  new_release.newest_version = 4;
  new_release.oldest_version = 3;
  new_release.schema_fingerprint = 2;
  const auto agreed = Attempt([&] { return protocol::AgreeVersion(new_release, old_release); });
  cr_assert(ErrorOf(agreed) == nullptr && std::get<std::int32_t>(agreed) == 3);
}

Test(hello, refuses_versions_that_do_not_meet_and_schemas_that_differ) {
  protocol::Hello own;
  protocol::Hello far;
  far.newest_version = far.oldest_version = own.newest_version + 1;
  auto refused = Attempt([&] { return protocol::AgreeVersion(own, far); });
  cr_assert(ErrorOf(refused)->kind == ErrorKind::kIncompatibleFormat);
  protocol::Hello other_schema;
  other_schema.schema_fingerprint = own.schema_fingerprint + 1;
  refused = Attempt([&] { return protocol::AgreeVersion(own, other_schema); });
  cr_assert(ErrorOf(refused)->kind == ErrorKind::kIncompatibleFormat);
}
