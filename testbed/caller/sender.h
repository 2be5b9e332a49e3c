/// @file
/// Sends one caller's requests and checks that each answer is its own and whole.
#pragma once

#include <httplib.h>

#include <memory>
#include <string>
#include <vector>

#include "src/runtime/socket_address.h"
#include "testbed/caller/traffic.h"
#include "testbed/support/record.h"
#include "testbed/support/record_file.h"

namespace graniteseam::testbed {

/// How often one request is sent at most, and how long a caller waits between two sendings.
struct ResendPolicy {
  std::uint32_t sendings_maximum = 4;
  Duration pause{100'000};
};

/// One caller with a connection of its own to each router. Not thread safe.
class Sender {
 public:
  Sender(const std::vector<runtime::SocketAddress>& routers, ResendPolicy policy,
         RecordFile& records);

  /// Sends a request, and again through the next router while it was not answered, within the
  /// caller's deadline; records each answer. An operation keeps its id through all sendings.
  /// @param first_router where the first sending goes.
  /// @return the answer to the last sending.
  AnswerRecord Send(const PlannedRequest& request, const Stream& stream, std::size_t first_router);

 private:
  AnswerRecord SendOnce(const PlannedRequest& request, const Stream& stream, std::size_t router,
                        std::uint32_t sending, Duration left);

  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<httplib::Client>> clients_;
  const ResendPolicy policy_;
  RecordFile& records_;
};

/// Fills in what an answer's body says: whether it is `nonce`'s own and as long as was asked for.
void CheckAnswerBody(const std::string& body, const Stream& stream, AnswerRecord& answer);

}  // namespace graniteseam::testbed
