#include "src/daemon/gateway/exchange_translator.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

#include "src/runtime/secret_digest.h"

namespace graniteseam::daemon {
namespace {

using gateway::AttemptEnd;

/// For a caller that does not say how long it waits.
constexpr Duration kDefaultTimeLeft{30'000'000};
constexpr std::int64_t kTimeLeftMaximumMs = 3'600'000;
constexpr int kUnauthorised = 401;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

template <class Number>
std::optional<Number> ReadNumber(const std::string* text) {
  if (text == nullptr || text->empty()) return std::nullopt;
  Number number{};
  const char* const end = text->data() + text->size();
  const auto [parsed, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return number;
}

/// Reads "running,waiting,slots" or "running,waiting,slots,work_percent". A server may mislead:
/// nothing beyond a bound is taken, since it would weigh more than all that is seen.
std::optional<gateway::ReportedLoad> ReadLoad(const std::string& text) {
  constexpr double kRequestsMaximum = 1e6;
  constexpr double kPercentMaximum = 1e5;
  constexpr int kWithWork = 4;
  gateway::ReportedLoad load;
  double percent = 0;
  const int read = std::sscanf(text.c_str(), "%lf,%lf,%lf,%lf", &load.running, &load.waiting,
                               &load.slots, &percent);
  const auto sound = [](double number, double maximum) { return 0 <= number && number <= maximum; };
  const bool counts = sound(load.running, kRequestsMaximum) &&
                      sound(load.waiting, kRequestsMaximum) && sound(load.slots, kRequestsMaximum);
  if (read < kWithWork - 1 || !counts) return std::nullopt;
  if (read < kWithWork) return load;
  if (percent <= 0 || !sound(percent, kPercentMaximum)) return std::nullopt;
  load.work_percent = percent;
  return load;
}

/// A number of seconds or of requests a second, which are decimal and not negative.
std::optional<double> ReadDecimal(const std::string& text) {
  constexpr double kMaximum = 1e9;
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (error != std::errc() || parsed != end || !(number >= 0 && number <= kMaximum)) {
    return std::nullopt;
  }
  return number;
}

/// The lowest of all fields of a name that can be read; nullopt when none can.
std::optional<double> ReadLowest(const event_http::HeaderFields& fields, const std::string& name) {
  std::optional<double> lowest;
  for (const event_http::HeaderField& field : fields.all()) {
    if (!event_http::SameName(field.name, name)) continue;
    const auto number = ReadDecimal(field.value);
    if (number && (!lowest || *number < *lowest)) lowest = number;
  }
  return lowest;
}

/// Fields of HTTP itself that servers send, and that say nothing to the decision maker.
constexpr std::array<std::string_view, 14> kStandardFields = {
    "Content-Type",  "Content-Length", "Content-Encoding",  "Connection", "Keep-Alive",
    "Date",          "Server",         "Transfer-Encoding", "Vary",       "Retry-After",
    "Cache-Control", "ETag",           "Last-Modified",     "Location"};

/// The digest leaves out the sign bit.
constexpr std::uint64_t kDigestBits = (std::uint64_t{1} << 63) - 1;

/// @param key the field that names the request's key; null when there is none.
traffic::RequestDigest DigestOf(const event_http::Request& request, const std::string& host,
                                const std::string* key) {
  std::string text = request.method + '\n' + host + '\n' + request.target + '\n';
  if (key != nullptr) text += *key;
  text += '\n';
  // The body is hashed by itself: it may be large, and would have to be copied.
  const std::uint64_t body = XXH3_64bits(request.body.data(), request.body.size());
  return {XXH3_64bits_withSeed(text.data(), text.size(), body) & kDigestBits};
}

constexpr char kAuthorization[] = "Authorization";

/// Between gateways: with a forwarded request, the oldest configuration that may route it and the
/// attempts at servers that it may use up.
constexpr char kHopConfiguration[] = "Graniteseam-Hop-Configuration";
constexpr char kHopAttempts[] = "Graniteseam-Hop-Attempts";
/// Between gateways: with the answer, whose it is, and that another gateway is to be tried.
constexpr char kHopServer[] = "Graniteseam-Hop-Server";
constexpr char kHopDeclined[] = "Graniteseam-Hop-Declined";

void RemoveHopFields(event_http::HeaderFields& fields) {
  for (const char* const name : {kHopConfiguration, kHopAttempts, kHopServer, kHopDeclined}) {
    fields.Remove(name);
  }
}

/// The digest of the key in "Authorization: Bearer KEY" (RFC 6750, section 2.1); empty when there
/// is none, or more than one, since then it is not told which one counts.
traffic::KeyDigest ApiKeyOf(const event_http::HeaderFields& fields) {
  constexpr std::string_view kScheme = "Bearer ";
  if (fields.Count(kAuthorization) != 1) return {};
  const std::string_view value = *fields.Find(kAuthorization);
  if (!event_http::SameName(value.substr(0, kScheme.size()), kScheme)) return {};
  const std::size_t begin = value.find_first_not_of(' ', kScheme.size());
  if (begin == std::string_view::npos) return {};
  return runtime::SecretDigest(value.substr(begin));
}

std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

gateway::FailureCause CauseOf(event_http::CallFault fault) {
  switch (fault) {
    case event_http::CallFault::kConnection:
      return gateway::FailureCause::kConnection;
    case event_http::CallFault::kTimeout:
      return gateway::FailureCause::kTimeout;
    case event_http::CallFault::kDelay:
      break;
  }
  return gateway::FailureCause::kDelay;
}

std::string ExchangeTranslator::AttemptId(const event_http::Request& request) const {
  const std::string* id = request.fields.Find(names_.attempt_id);
  return id == nullptr ? "" : *id;
}

gateway::ArrivedRequest ExchangeTranslator::Read(const event_http::Request& request,
                                                 gateway::RequestNumber number) const {
  gateway::ArrivedRequest arrived;
  arrived.number = number;
  if (const std::string* host = request.fields.Find("Host")) arrived.host = *host;
  arrived.path = std::string(request.Path());
  const std::string* const key = request.fields.Find(names_.key);
  arrived.key = ReadNumber<std::uint32_t>(key);
  arrived.digest = DigestOf(request, arrived.host, key);
  if (!names_.tenant.empty()) arrived.api_key = ApiKeyOf(request.fields);
  arrived.time_left = kDefaultTimeLeft;
  const auto left = ReadNumber<std::int64_t>(request.fields.Find(names_.time_left_ms));
  if (left) {
    arrived.time_left =
        std::chrono::milliseconds(std::clamp<std::int64_t>(*left, 0, kTimeLeftMaximumMs));
  }
  const auto configuration = ReadNumber<std::uint64_t>(request.fields.Find(kHopConfiguration));
  const auto attempts = ReadNumber<std::uint32_t>(request.fields.Find(kHopAttempts));
  if (configuration && attempts) arrived.hop = gateway::HopLimits{{*configuration}, *attempts};
  return arrived;
}

event_http::HeaderFields ExchangeTranslator::ForNext(const event_http::Request& request,
                                                     Duration time_left) const {
  event_http::HeaderFields fields = request.fields;
  event_http::RemoveConnectionFields(fields);
  fields.Remove("Expect");
  RemoveHopFields(fields);
  const std::int64_t left = std::max<std::int64_t>(1, ToMillis(time_left));
  fields.Set(names_.time_left_ms, std::to_string(left));
  return fields;
}

std::string ExchangeTranslator::ForPeer(const event_http::Request& request,
                                        const gateway::ForwardRequest& forward) const {
  event_http::HeaderFields fields = ForNext(request, forward.time_left);
  fields.Set(kHopConfiguration, std::to_string(forward.hop.configuration.value));
  fields.Set(kHopAttempts, std::to_string(forward.hop.attempts));
  return event_http::SerializeHead(request.method, request.target, fields, request.body.size());
}

std::string ExchangeTranslator::ForServer(const event_http::Request& request,
                                          const gateway::SendAttempt& send) const {
  event_http::HeaderFields fields = ForNext(request, send.time_left);
  if (send.hides_api_key) HideApiKey(send, fields);
  fields.Set(names_.target_instance, std::string(traffic::ServerNameOf(send.instance)));
  return event_http::SerializeHead(request.method, request.target, fields, request.body.size());
}

void ExchangeTranslator::HideApiKey(const gateway::SendAttempt& send,
                                    event_http::HeaderFields& fields) const {
  fields.Remove(kAuthorization);
  fields.RemoveAlike(names_.tenant);
  if (!send.tenant.Empty()) fields.Set(names_.tenant, send.tenant.value);
}

AttemptEnd ExchangeTranslator::EndOf(const event_http::Response& answer,
                                     const event_http::Request& request) const {
  const std::string* echo = answer.fields.Find(names_.attempt_id);
  const std::string* own = request.fields.Find(names_.attempt_id);
  const bool same = own == nullptr ? echo == nullptr : echo != nullptr && *echo == *own;
  if (!same) return AttemptEnd::kUnusable;
  const bool not_executed = answer.fields.Find(names_.not_executed) != nullptr;
  if (not_executed || answer.status == kMisdirected) return AttemptEnd::kNotExecuted;
  if (answer.fields.Find("Content-Encoding") != nullptr) return AttemptEnd::kUnusable;
  const bool success = answer.status / 100 == 2;
  const bool sealed = answer.fields.Find(names_.seal) != nullptr;
  return success && !sealed ? AttemptEnd::kUnusable : AttemptEnd::kAnswered;
}

gateway::AttemptReport ExchangeTranslator::Read(const event_http::CallResult& result,
                                                const event_http::Request& request,
                                                const gateway::SendAttempt& send) const {
  gateway::AttemptReport report = ReadEnd(result, request);
  report.request = send.request;
  report.attempt = send.attempt;
  return report;
}

gateway::AttemptReport ExchangeTranslator::Read(const event_http::CallResult& result,
                                                const event_http::Request& request,
                                                const gateway::ForwardRequest& forward) const {
  gateway::AttemptReport report = ReadEnd(result, request);
  report.request = forward.request;
  report.attempt = forward.attempt;
  if (report.end != AttemptEnd::kAnswered) return report;
  const event_http::HeaderFields& fields = result.response.fields;
  if (const std::string* const server = fields.Find(kHopServer)) {
    report.hop.server = traffic::InstanceId{*server};
  } else {
    // Its Retry-After is the peer's own.
    report.pressure = {};
  }
  const auto configuration = ReadNumber<std::uint64_t>(fields.Find(kHopConfiguration));
  if (configuration) report.hop.configuration = {*configuration};
  report.hop.declined = report.status == kUnavailable && fields.Find(kHopDeclined) != nullptr;
  return report;
}

gateway::AttemptReport ExchangeTranslator::ReadEnd(const event_http::CallResult& result,
                                                   const event_http::Request& request) const {
  gateway::AttemptReport report;
  report.cause = CauseOf(result.fault);
  report.new_connection = result.new_connection;
  switch (result.end) {
    case event_http::CallEnd::kNotSent:
      report.end = AttemptEnd::kNotSent;
      return report;
    case event_http::CallEnd::kLost:
      report.end = AttemptEnd::kLost;
      return report;
    case event_http::CallEnd::kMalformed:
      report.end = AttemptEnd::kUnusable;
      return report;
    case event_http::CallEnd::kAnswered:
      break;
  }
  report.status = result.response.status;
  report.end = EndOf(result.response, request);
  if (report.end != AttemptEnd::kUnusable) {
    const std::string* const load = result.response.fields.Find(names_.load);
    if (load != nullptr) report.load = ReadLoad(*load);
    report.load_unreadable = load != nullptr && !report.load;
  }
  report.not_owner = result.response.status == kMisdirected;
  // An answer that may be another instance's tells nothing of this one.
  const bool own = report.end != AttemptEnd::kUnusable && !report.not_owner;
  if (own) report.pressure = PressureOf(result.response);
  return report;
}

gateway::BackPressure ExchangeTranslator::PressureOf(const event_http::Response& answer) const {
  constexpr char kRetryAfter[] = "Retry-After";
  const event_http::HeaderFields& fields = answer.fields;
  gateway::BackPressure pressure;
  pressure.limit_per_second = ReadLowest(fields, names_.limit);
  pressure.unreadable = !pressure.limit_per_second && fields.Count(names_.limit) > 0;
  const std::string* const leaving = fields.Find(names_.leaving);
  pressure.leaving = leaving != nullptr && *leaving == "1";
  pressure.unreadable |= leaving != nullptr && !pressure.leaving && *leaving != "0";
  if (answer.status != kUnavailable || fields.Count(kRetryAfter) == 0) return pressure;
  // A date, which RFC 9110, section 10.2.3, allows too, is not read.
  const auto seconds = ReadLowest(fields, kRetryAfter);
  pressure.unreadable |= !seconds;
  if (seconds) {
    pressure.rest = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*seconds));
  }
  return pressure;
}

const std::string* ExchangeTranslator::UnknownField(const event_http::Response& answer) const {
  const std::array<std::string_view, 12> known = {
      names_.attempt_id,      names_.seal,       names_.load,  names_.not_executed,
      names_.answerer,        names_.warm_up_ms, names_.limit, names_.leaving,
      names_.target_instance, kHopConfiguration, kHopServer,   kHopDeclined};
  for (const event_http::HeaderField& field : answer.fields.all()) {
    const auto same = [&](std::string_view name) { return event_http::SameName(field.name, name); };
    const bool is_known = std::any_of(known.begin(), known.end(), same) ||
                          std::any_of(kStandardFields.begin(), kStandardFields.end(), same);
    if (!is_known) return &field.name;
  }
  return nullptr;
}

std::string ExchangeTranslator::ForProbe(const gateway::ProbeInstance& probe) const {
  event_http::Request request;
  request.method = "GET";
  request.target = probe.path;
  request.fields.Add("Host", probe.address);
  return event_http::Serialize(request);
}

gateway::ProbeReport ExchangeTranslator::Read(const event_http::CallResult& result,
                                              const gateway::ProbeInstance& probe) const {
  gateway::ProbeReport report;
  report.request = probe.request;
  report.round = probe.round;
  report.instance = probe.instance;
  if (result.end != event_http::CallEnd::kAnswered) return report;
  const auto& fields = result.response.fields;
  const std::string* const answerer = fields.Find(names_.answerer);
  report.other_instance = answerer != nullptr && *answerer != traffic::ServerNameOf(probe.instance);
  if (report.other_instance) return report;
  report.answered = true;
  // Also of a server that says it is not well: whether it fails requests is seen by them.
  if (const std::string* const load = fields.Find(names_.load)) report.load = ReadLoad(*load);
  const auto warm_up = ReadNumber<std::int64_t>(fields.Find(names_.warm_up_ms));
  constexpr std::int64_t kWarmUpMaximumMs = 60'000;
  if (warm_up && 0 < *warm_up && *warm_up <= kWarmUpMaximumMs) {
    report.warm_up_left = std::chrono::milliseconds(*warm_up);
  }
  return report;
}

event_http::Response ExchangeTranslator::ForCaller(
    event_http::Response answer, const std::optional<gateway::HopReport>& hop) const {
  event_http::RemoveConnectionFields(answer.fields);
  RemoveHopFields(answer.fields);
  if (!hop) return answer;
  answer.fields.Add(kHopConfiguration, std::to_string(hop->configuration.value));
  if (hop->server) answer.fields.Add(kHopServer, hop->server->value);
  return answer;
}

event_http::Response ExchangeTranslator::ForCaller(const gateway::Refuse& refusal,
                                                   const event_http::Request& request) const {
  event_http::Response response;
  response.status = refusal.status;
  const std::string id = AttemptId(request);
  if (!id.empty()) response.fields.Add(names_.attempt_id, id);
  response.fields.Add("Content-Type", "application/problem+json");
  // RFC 9110, section 15.5.2.
  if (refusal.status == kUnauthorised) response.fields.Add("WWW-Authenticate", "Bearer");
  if (refusal.retry_after) {
    char seconds[32];
    std::snprintf(seconds, sizeof(seconds), "%.3f",
                  std::chrono::duration<double>(*refusal.retry_after).count());
    response.fields.Add("Retry-After", seconds);
  }
  if (refusal.declines_hop) response.fields.Add(kHopDeclined, "1");
  response.body = "{\"status\":" + std::to_string(refusal.status) + ",\"kind\":\"" +
                  std::string(gateway::ReasonName(refusal.reason)) + "\"}";
  return response;
}

}  // namespace graniteseam::daemon
