/// @file
/// A proxy in front of a server that injects faults into its answers, as the interface allows of
/// servers in trouble: surplus, missing, cut, reset, malformed and endless answers.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "src/runtime/event_loop.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::testbed {

enum class AnswerFault {
  kNone,
  kRepeated,           ///< A copy follows soon, or when the connection's next request comes.
  kRejectionAppended,  ///< A surplus rejection with the same attempt id follows.
  kReset,              ///< The connection is reset in place of the answer.
  kClosed,             ///< The connection is closed in place of the answer.
  kCut,                ///< Half of the answer, then a close.
  kWithheld,           ///< Nothing; the connection stays open.
  kMalformed,          ///< Bytes that are no answer, then a close.
  kUnmarked,           ///< The server's own 503 or 429, without the word that it did not run it.
  kInterim,            ///< A 103 before the answer.
  kUndelimited,        ///< Half of the answer without its length, then a reset.
  // Without end, until the client closes:
  kEndlessHead,       ///< A field of the head.
  kEndlessBody,       ///< A body without a length.
  kEndlessExtension,  ///< An extension of a chunk.
  kEndlessTrailer,    ///< Fields of a trailer.
};

inline constexpr std::size_t kAnswerFaults = 15;

/// The name of a fault, for reports.
auto NameOf(AnswerFault fault) -> std::string_view;

/// How many answers got which fault. Shared by all proxies of a fleet; thread safe.
class AnswerFaultCounts {
 public:
  auto Add(AnswerFault fault) -> void { ++counts_[static_cast<std::size_t>(fault)]; }
  auto of(AnswerFault fault) const -> std::uint64_t {
    return counts_[static_cast<std::size_t>(fault)];
  }

 private:
  std::array<std::atomic<std::uint64_t>, kAnswerFaults> counts_{};
};

struct AnswerFaultOptions {
  double part = 0;             ///< Of the answers that get a fault.
  std::uint64_t seed = 0;      ///< Of the draws.
  std::string attempt_id{};    ///< Header that names the attempt.
  std::string not_executed{};  ///< Header that marks a rejection.
  std::shared_ptr<AnswerFaultCounts> counts{};
};

/// Answers that name no attempt, such as those to orders and health checks, are only repeated.
///
/// Lifecycle: listens from construction to destruction. Thread safe.
class AnswerFaultProxy {
 public:
  /// @param listen a reserved address that clients are told.
  /// @param server where the server listens.
  AnswerFaultProxy(AnswerFaultOptions options, runtime::SocketAddress const& listen,
                   runtime::SocketAddress const& server);
  ~AnswerFaultProxy();
  AnswerFaultProxy(AnswerFaultProxy const&) = delete;
  auto operator=(AnswerFaultProxy const&) -> AnswerFaultProxy& = delete;

 private:
  class Impl;
  runtime::EventLoop loop_;
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::testbed
