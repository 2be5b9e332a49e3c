/// @file
/// The requests of one connection that are in progress, and the order of their responses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "src/event_http/message.h"

namespace graniteseam::event_http {

/// Bounds of what one connection may have in progress.
struct PipelineBounds {
  std::size_t requests_maximum = 1;      ///< Requests in progress, finished ones included.
  std::size_t answer_bytes_maximum = 0;  ///< Finished responses that wait for their turn.
};

/// Decides which requests of a connection run in parallel and when each response is sent. Requests
/// with safe methods may run side by side, but their responses keep the order of the requests (RFC
/// 9112, section 9.3.2).
///
/// Invariants: a request that may not run beside others is alone in progress. A request after which
/// the connection ends is the last one added: a client takes every later request on the connection
/// for unread and sends it again, so none may have begun. No I/O; not thread safe.
class Pipeline {
 public:
  /// Identifies a request for as long as its connection exists.
  using Ticket = std::uint64_t;

  explicit Pipeline(PipelineBounds bounds) : bounds_(bounds) {}

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  /// Bytes of the bodies of finished responses that wait for their turn.
  std::size_t waiting_answer_bytes() const { return waiting_answer_bytes_; }

  /// Bytes that the account of these responses gets back by Clear().
  std::size_t waiting_charged_bytes() const;

  /// Whether a further message may be parsed while these requests are in progress.
  bool MayParse() const;
  /// Whether a parsed request may begin now.
  /// @param beside whether it may run in parallel with others.
  bool Admits(bool beside) const { return empty() || (beside && MayParse()); }

  /// Adds a request that begins; Admits() must have returned true.
  /// @param ends_connection whether the connection ends with its response.
  Ticket Add(bool beside, bool ends_connection);

  /// Whether the request is in progress and has no response yet.
  bool IsOpen(Ticket ticket) const;
  /// Sets what to call when the client leaves before the request is answered.
  void SetGoneHandler(Ticket ticket, std::function<void()> handler);
  /// Stores the response of a request.
  /// @return whether the request was open.
  bool Finish(Ticket ticket, Response response);

  /// A response whose turn has come.
  struct Ready {
    Response response;
    bool ends_connection = false;
    bool last = false;  ///< No further request is in progress.
  };
  /// Removes the first request if it is finished.
  std::optional<Ready> TakeReady();

  /// The connection ends with the response to the last request in progress; none begins any more.
  void EndWithLast();

  /// Removes all requests.
  /// @return the handlers of open requests, in order, which are to be called.
  std::vector<std::function<void()>> Clear();

 private:
  struct Entry {
    Ticket ticket = 0;
    bool beside = false;
    bool ends_connection = false;
    std::function<void()> gone;
    std::optional<Response> response;
  };

  Entry* FindOpen(Ticket ticket);

  const PipelineBounds bounds_;
  std::deque<Entry> entries_;
  std::size_t waiting_answer_bytes_ = 0;
  Ticket last_ticket_ = 0;
};

}  // namespace graniteseam::event_http
