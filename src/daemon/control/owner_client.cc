#include "src/daemon/control/owner_client.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "src/control/order_names.h"
#include "src/runtime/clock.h"

namespace graniteseam::daemon {
namespace {

using control::RangeOrder;
using control::RangeOrderResult;

constexpr int kOk = 200;
constexpr int kHigherFenceSeen = 409;
/// The process at the address is not the instance that the order names (RFC 9110, 15.5.20).
constexpr int kMisdirected = 421;
constexpr std::size_t kAnswerBytesMaximum = 65'536;

std::string BodyOf(const RangeOrder& order) {
  std::string body = "{\"from\":" + std::to_string(order.span.first) +
                     ",\"to\":" + std::to_string(order.span.last) +
                     ",\"fence\":" + std::to_string(order.fence.value);
  if (order.kind == RangeOrder::Kind::kGrant) {
    body += ",\"hold_ms\":" + std::to_string(order.hold.count() / 1'000);
    // Handovers come from instances: only what is a plain token is passed on.
    if (!order.handover.empty()) body += ",\"handover\":\"" + order.handover + "\"";
  }
  return body + "}";
}

/// A handover as it may stand in a body; empty when it has signs that a token does not have.
std::string PlainToken(const std::string* text) {
  if (text == nullptr) return "";
  for (const char c : *text) {
    if (c == '"' || c == '\\' || static_cast<unsigned char>(c) < 0x20) return "";
  }
  return *text;
}

/// Whether an answer proves that the process at the address is not the instance that was meant.
bool FromOtherInstance(const OwnerCallNames& names, const RangeOrder& order,
                       const event_http::Response& response) {
  if (response.status != kMisdirected || names.target_header.empty()) return false;
  const std::string* const answerer = response.fields.Find(names.answerer_header);
  return answerer == nullptr || *answerer != traffic::ServerNameOf(order.instance);
}

RangeOrderResult::Outcome OutcomeOf(const OwnerCallNames& names, const RangeOrder& order,
                                    const event_http::CallResult& result) {
  using Outcome = RangeOrderResult::Outcome;
  if (result.end == event_http::CallEnd::kNotSent) return Outcome::kNotDelivered;
  if (result.end != event_http::CallEnd::kAnswered) return Outcome::kUnknown;
  if (FromOtherInstance(names, order, result.response)) return Outcome::kOtherInstance;
  switch (result.response.status) {
    case kOk:
      return Outcome::kDone;
    case kHigherFenceSeen:
      return Outcome::kRefused;
    default:
      return Outcome::kUnknown;
  }
}

event_http::ClientPoolOptions PoolOptions() {
  event_http::ClientPoolOptions options;
  options.answer_bytes_maximum = kAnswerBytesMaximum;
  options.resting_maximum = 2;
  return options;
}

}  // namespace

OwnerClient::OwnerClient(OwnerCallNames names, runtime::EventLoop& loop, runtime::EventLog& events,
                         Handler handler)
    : names_(std::move(names)),
      loop_(loop),
      events_(events),
      handler_(std::move(handler)),
      pool_(loop.context(), PoolOptions()) {}

void OwnerClient::Send(RangeOrder order) {
  boost::asio::post(loop_.context(), [this, order = std::move(order)] { Start(order); });
}

void OwnerClient::Start(const RangeOrder& order) {
  const bool grant = order.kind == RangeOrder::Kind::kGrant;
  event_http::Request request;
  request.method = "POST";
  request.target = grant ? names_.grant_path : names_.release_path;
  request.fields.Add("Host", order.address);
  request.fields.Add("Content-Type", "application/json");
  if (!names_.target_header.empty()) {
    request.fields.Add(names_.target_header, std::string(traffic::ServerNameOf(order.instance)));
  }
  request.body = BodyOf(order);
  event_http::Call call;
  call.address = order.address;
  call.bytes = event_http::Serialize(request);
  call.limit = order.limit;
  call.not_after = order.not_after;
  const bool unproven = unproven_.erase(order.address) > 0;
  call.needs_new_connection = !grant || unproven;
  const Instant sent = runtime::BootTimeNow();
  pool_.Start(std::move(call), [this, order, sent](const event_http::CallResult& result) {
    OnEnd(order, sent, result);
  });
}

void OwnerClient::OnEnd(const RangeOrder& order, Instant sent,
                        const event_http::CallResult& result) {
  RangeOrderResult ended;
  ended.number = order.number;
  ended.outcome = ProvenOutcome(order, result);
  if (ended.outcome == RangeOrderResult::Outcome::kDone) {
    ended.handover = PlainToken(result.response.fields.Find(names_.handover_header));
  }
  WriteEvent(order, runtime::BootTimeNow() - sent, ended.outcome, result);
  handler_(ended);
}

RangeOrderResult::Outcome OwnerClient::ProvenOutcome(const RangeOrder& order,
                                                     const event_http::CallResult& result) {
  using Outcome = RangeOrderResult::Outcome;
  const Outcome outcome = OutcomeOf(names_, order, result);
  const bool ends_ownership = outcome == Outcome::kOtherInstance || outcome == Outcome::kRefused;
  if (result.new_connection || !ends_ownership) return outcome;
  // A grant that is wrongly taken for done is corrected by its renewal.
  unproven_.insert(order.address);
  return Outcome::kUnknown;
}

void OwnerClient::WriteEvent(const RangeOrder& order, Duration took,
                             RangeOrderResult::Outcome outcome,
                             const event_http::CallResult& result) {
  const bool grant = order.kind == RangeOrder::Kind::kGrant;
  const bool plain_renewal = grant && outcome == RangeOrderResult::Outcome::kDone;
  runtime::EventLine line(control::OrderKindName(order.kind));
  line.Add("instance", order.instance.value)
      .Add("address", order.address)
      .Add("order", order.number.value)
      .Add("first", std::uint64_t{order.span.first})
      .Add("last", std::uint64_t{order.span.last})
      .Add("fence", order.fence.value)
      .Add("outcome", control::OrderOutcomeName(outcome))
      .Add("took_us", took.count())
      .Add("connection", result.new_connection ? "new" : "kept");
  const std::string* const answerer = result.response.fields.Find(names_.answerer_header);
  if (answerer != nullptr) line.Add("answered_by", *answerer);
  events_.Write(plain_renewal ? runtime::EventWeight::kOrdinary : runtime::EventWeight::kNotable,
                line);
}

}  // namespace graniteseam::daemon
