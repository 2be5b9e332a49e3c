/// @file
/// One caller's connection to a router, seen as closely as the promises need: whether a connection was
/// closed before, in or after an answer.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"
#include "src/event_http/message.h"

namespace graniteseam::testbed::soak {

enum class ExchangeEnd {
    Answered,
    NotSent, ///< The connection was closed before the whole request was written.
    Closed, ///< The request was sent whole; the connection ended in order, without a whole answer.
    Reset, ///< The same, by a reset: the other side has not read all that was sent, or is gone.
    Silent, ///< No whole answer within the limit.
    Malformed, ///< Bytes that are no answer, or more than one.
};

struct ExchangeOutcome {
    ExchangeEnd end = ExchangeEnd::Silent;
    event_http::Response response; ///< When answered.
    bool closes = false; ///< The answer says that the connection ends with it.
    /// For how long after the last byte was sent the connection is known not to have ended; it may have been
    /// open for longer. A caller that is late itself knows of less.
    Duration known_open {};
};

/// Not thread safe. One series of requests at a time.
class CallerConnection {
public:
    /// Connects, or is not open() afterwards.
    CallerConnection(std::string const& address, Duration limit);
    ~CallerConnection();
    CallerConnection(CallerConnection const&) = delete;
    auto operator=(CallerConnection const&) -> CallerConnection& = delete;

    auto open() const -> bool { return m_descriptor >= 0; }
    /// Whether an answer came on it already.
    auto kept() const -> bool { return m_answered; }

    /// Sends a request and waits for its answer. After any end but a whole answer that keeps the
    /// connection it is not open any more.
    auto exchange(event_http::Request const&, Duration limit) -> ExchangeOutcome;

    /// Sends all requests in one piece and waits for their answers, which come in the same order. It ends
    /// with the first end but a whole answer that keeps the connection, which is not open any more then.
    /// @param limit for all of them together.
    /// @return what came, one for each request at most; requests behind the last of them have no answer.
    auto exchange_ahead(std::span<event_http::Request const>, Duration limit) -> std::vector<ExchangeOutcome>;

private:
    auto close() -> void;
    /// Whether bytes lie here that answer nothing.
    auto has_early_bytes() const -> bool;
    auto write(std::string const& bytes, Instant end) -> bool;
    /// Notes what the answer says of the connection, and closes it where it does not go on.
    auto take_end(ExchangeOutcome const&) -> void;
    /// Leaves what came behind the answer in m_unread.
    /// @param sent when the last byte of all requests was sent.
    auto read_answer(Instant sent, Instant end) -> ExchangeOutcome;
    /// Waits until something came or the connection ended, and notes for how long nothing did.
    /// @return false at `end`.
    auto await_bytes(Instant sent, Instant end, ExchangeOutcome&) const -> bool;

    int m_descriptor = -1;
    std::string m_unread; ///< Came behind the last answer.
    bool m_answered = false;
};

} // namespace graniteseam::testbed::soak
