#include "src/daemon/control/registry_server.h"

#include <boost/asio/post.hpp>
#include <charconv>
#include <utility>

#include "src/http/operator_json.h"
#include "src/http/traffic_json.h"
#include "src/runtime/clock.h"
#include "src/runtime/wait_until_none.h"

namespace graniteseam::daemon {
namespace {

constexpr char kConfigurationPath[] = "/v1/traffic/configuration";
constexpr char kInstancesPath[] = "/v1/instances/";
constexpr char kHeartbeatSuffix[] = "/heartbeat";
constexpr char kZonesPath[] = "/v1/zones/";
constexpr char kDrainSuffix[] = "/drain";
constexpr std::size_t kZoneNameMaximum = 128;
constexpr char kMetricsPath[] = "/metrics";

constexpr int kOk = 200;
constexpr int kPreconditionFailed = 412;
constexpr int kTemporaryRedirect = 307;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kBodyBytesMaximum = std::size_t{8} << 20;
/// Of all but configuration changes: a heartbeat names the spans of keys that its instance holds.
constexpr std::size_t kSmallBodyBytesMaximum = std::size_t{1} << 20;
/// Of configuration changes without an answer; one of any size is taken.
constexpr std::size_t kChangeBytesMaximum = std::size_t{16} << 20;
/// Reads of the configuration without an answer: each holds a copy of it.
constexpr std::size_t kReadsMaximum = 16;
constexpr std::uint32_t kHeartbeatsPerAddress = 8;
constexpr std::size_t kInstancesRemembered = 10'000;
/// For what arrived unread to be refused, and callers to take the last answers: a second is how
/// long a connection lingers whose client does not close it.
constexpr Duration kLastAnswersLimit{1'000'000};

/// Reads the version of an If-Match field, with or without quotes.
Result<traffic::ConfigurationVersion> ReadBase(const event_http::Request& request) {
  const std::string* field = request.fields.Find("If-Match");
  traffic::ConfigurationVersion base;
  if (field != nullptr) {
    std::string_view text = *field;
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
      text = text.substr(1, text.size() - 2);
    }
    const char* const end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, base.value);
    if (!text.empty() && error == std::errc() && parsed == end) return base;
  }
  return Fail(ErrorKind::kMalformedMessage, "If-Match names no version.",
              "Name the version that the change builds on; 0 for the first.");
}

Result<control::OperatorRequest> ReadChange(const event_http::Request& request, bool whole) {
  BOOST_LEAF_AUTO(base, ReadBase(request));
  control::ChangeConfiguration change;
  if (whole) {
    BOOST_LEAF_ASSIGN(change.change, http::ReadConfiguration(request.body, base));
  } else {
    BOOST_LEAF_ASSIGN(change.change, http::ReadConfigurationPatch(request.body, base));
  }
  return control::OperatorRequest(std::move(change));
}

/// "i-7" of "/v1/instances/i-7" or "/v1/instances/i-7/heartbeat"; empty for another path.
std::string NameIn(std::string_view path, std::string_view prefix, std::string_view suffix) {
  if (!path.starts_with(prefix) || !path.ends_with(suffix)) return "";
  if (path.size() < prefix.size() + suffix.size()) return "";
  const std::string_view name =
      path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  return name.find('/') == std::string_view::npos ? std::string(name) : "";
}

/// A zone of which nothing is known yet may be drained: its instances may still come.
Result<control::OperatorRequest> ReadZoneDrain(const std::string& zone, bool drained) {
  if (zone.size() > kZoneNameMaximum) {
    return Fail(ErrorKind::kMalformedMessage, "The zone's name is too long.",
                "Name a zone as instances report it.");
  }
  return control::OperatorRequest(control::DrainZone{{zone}, drained});
}

Result<control::OperatorRequest> ReadRequest(const event_http::Request& request) {
  const std::string_view path = request.Path();
  if (path == kConfigurationPath) {
    if (request.method == "GET") return control::OperatorRequest(control::ReadConfiguration{});
    if (request.method == "PUT") return ReadChange(request, true);
    if (request.method == "PATCH") return ReadChange(request, false);
  }
  const std::string zone = NameIn(path, kZonesPath, kDrainSuffix);
  if (!zone.empty() && (request.method == "PUT" || request.method == "DELETE")) {
    return ReadZoneDrain(zone, request.method == "PUT");
  }
  const std::string reporting = NameIn(path, kInstancesPath, kHeartbeatSuffix);
  if (!reporting.empty() && request.method == "POST") {
    BOOST_LEAF_AUTO(heartbeat, http::ReadHeartbeat(request.body, {reporting}));
    return control::OperatorRequest(std::move(heartbeat));
  }
  const std::string leaving = NameIn(path, kInstancesPath, "");
  if (!leaving.empty() && request.method == "DELETE") {
    return control::OperatorRequest(control::DeregisterInstance{{leaving}});
  }
  return Fail(ErrorKind::kNotFound,
              "Nothing is served at " + request.method + " " + std::string(path) + ".",
              "See docs/interface/traffic.md.");
}

bool IsChange(const event_http::Request& request) {
  return request.Path() == kConfigurationPath && request.method != "GET";
}

bool IsRead(const event_http::Request& request) {
  return request.Path() == kConfigurationPath && request.method == "GET";
}

std::string_view CallName(const event_http::Request& request) {
  if (request.Path() == kConfigurationPath) {
    return request.method == "GET" ? "read_configuration" : "change_configuration";
  }
  if (request.Path().starts_with(kZonesPath)) return "drain_zone";
  return request.Path().ends_with(kHeartbeatSuffix) ? "heartbeat" : "leave";
}

std::string_view ResultName(const control::OperatorAnswer& answer) {
  if (std::holds_alternative<control::KeyLeases>(answer)) return "leases";
  const auto* error = std::get_if<Error>(&answer);
  if (error == nullptr) return "accepted";
  return error->kind == ErrorKind::kNotLeader ? "not_leader" : "refused";
}

event_http::Response JsonResponse(int status, std::string body) {
  event_http::Response response;
  response.status = status;
  response.fields.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

event_http::ServerOptions OptionsFor(runtime::SocketAddress address,
                                     std::size_t connections_maximum) {
  event_http::ServerOptions options;
  options.address = std::move(address);
  options.connections_maximum = connections_maximum;
  return options;
}

}  // namespace

RegistryServer::RegistryServer(runtime::SocketAddress address, std::size_t connections_maximum,
                               runtime::EventLoop& loop, runtime::EventLog& events,
                               RegistryServerHooks hooks)
    : loop_(loop),
      events_(events),
      hooks_(std::move(hooks)),
      registry_address_(ToString(address)),
      server_(loop.context(), OptionsFor(std::move(address), connections_maximum),
              [this](const auto& exchange) { OnExchange(exchange); }) {
  event_http::ServerLimits limits;
  limits.body_bytes = kBodyBytesMaximum;
  server_.SetLimits(limits);
}

void RegistryServer::BeginDrain() {
  boost::asio::post(loop_.context(), [this] { server_.BeginDrain(); });
}

void RegistryServer::Close(Duration answers_within) {
  boost::asio::post(loop_.context(),
                    [this] { server_.Close(event_http::ArrivedRequests::kRefuse); });
  const auto waiting = [this] { return waiting_.size(); };
  const Instant now = runtime::BootTimeNow();
  runtime::WaitUntilNone(loop_.context(), waiting, now, now + answers_within);
  boost::asio::post(loop_.context(), [this] { AnswerTheRest(); });
  const auto busy = [this] { return server_.busy(); };
  const Instant told = runtime::BootTimeNow();
  runtime::WaitUntilNone(loop_.context(), busy, told, told + kLastAnswersLimit);
}

/// What the deciding thread was given may be committed still, also by another leader: nobody may be
/// told that it was not taken.
void RegistryServer::AnswerTheRest() {
  const event_http::CloseCounts counts = server_.close_counts();
  events_.Write(runtime::EventWeight::kVital,
                runtime::EventLine("registry_closes")
                    .Add("accepted", static_cast<std::uint64_t>(counts.accepted))
                    .Add("unread", static_cast<std::uint64_t>(counts.unread))
                    .Add("refused", static_cast<std::uint64_t>(counts.refused))
                    .Add("without_answer", static_cast<std::uint64_t>(waiting_.size())));
  const control::OperatorAnswer unknown =
      Error{ErrorKind::kOutcomeUnknown, "The control process stopped before the group answered.",
            "Send the same request again, to another control process."};
  while (!waiting_.empty()) OnAnswer({waiting_.begin()->first, unknown});
}

void RegistryServer::OnExchange(const std::shared_ptr<event_http::Exchange>& exchange) {
  const event_http::Request& request = exchange->request();
  if (request.Path() == kMetricsPath) {
    event_http::Response response;
    response.body = hooks_.metrics();
    exchange->Respond(response);
    return;
  }
  const std::string what = request.method + " " + std::string(request.Path());
  auto read = Attempt([&]() -> Result<control::OperatorRequest> {
    BOOST_LEAF_CHECK(CheckBody(request));
    return ReadRequest(request);
  });
  if (const Error* error = ErrorOf(read)) {
    const control::OperatorAnswer answer = *error;
    const event_http::Response response = ResponseFor(answer, request);
    Log(what, response.status, answer);
    exchange->Respond(response);
    return;
  }
  const control::RequestId number = next_request_++;
  auto& command = std::get<control::OperatorRequest>(read);
  const auto* heartbeat = std::get_if<control::ReportInstance>(&command);
  waiting_[number] = {exchange, what, {}};
  if (IsRead(request)) reads_.insert(number);
  if (IsChange(request)) {
    changes_[number] = request.body.size();
    change_bytes_ += request.body.size();
  }
  if (heartbeat != nullptr) waiting_[number].heartbeat = heartbeat->report;
  exchange->OnGone([this, number] { waiting_.erase(number); });
  hooks_.execute(number, std::move(command));
}

Result<void> RegistryServer::CheckBody(const event_http::Request& request) const {
  const std::size_t bytes = request.body.size();
  if (!IsChange(request) && bytes > kSmallBodyBytesMaximum) {
    return Fail(ErrorKind::kTooLarge,
                "The body has " + std::to_string(bytes) + " bytes; " +
                    std::to_string(kSmallBodyBytesMaximum) + " are read at most here.",
                "Send what docs/interface/traffic.md describes.");
  }
  if (IsRead(request) && reads_.size() >= kReadsMaximum) {
    return Fail(ErrorKind::kUnavailable,
                std::to_string(reads_.size()) +
                    " reads of the configuration wait for their answers; no more may wait.",
                "Read it again in a second, or at another control process.");
  }
  if (IsChange(request) && !changes_.empty() && change_bytes_ + bytes > kChangeBytesMaximum) {
    return Fail(ErrorKind::kUnavailable,
                std::to_string(change_bytes_) +
                    " bytes of configuration changes wait for their answers; " +
                    std::to_string(kChangeBytesMaximum) + " may wait at most.",
                "Send the same change again in a second; it was not run.");
  }
  return {};
}

void RegistryServer::EndRequest(control::RequestId number) {
  reads_.erase(number);
  const auto change = changes_.find(number);
  if (change == changes_.end()) return;
  change_bytes_ -= change->second;
  changes_.erase(change);
}

void RegistryServer::Answer(const control::OperatorReply& reply) {
  boost::asio::post(loop_.context(), [this, reply] { OnAnswer(reply); });
}

void RegistryServer::OnAnswer(const control::OperatorReply& reply) {
  EndRequest(reply.request);
  const auto found = waiting_.find(reply.request);
  if (found == waiting_.end()) return;
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  event_http::Response response = ResponseFor(reply.answer, waiting.exchange->request());
  if (waiting.heartbeat && response.status == kOk) {
    response.body = HeartbeatBody(*waiting.heartbeat, reply.answer);
  }
  Log(waiting.what, response.status, reply.answer);
  hooks_.on_answered(CallName(waiting.exchange->request()), ResultName(reply.answer),
                     runtime::BootTimeNow() - waiting.exchange->received_at());
  waiting.exchange->Respond(response);
}

std::string RegistryServer::HeartbeatBody(const traffic::InstanceReport& report,
                                          const control::OperatorAnswer& answer) {
  // Who leases its keys must go on to get its heartbeats: this process, which leads.
  if (const auto* leases = std::get_if<control::KeyLeases>(&answer)) {
    return http::HeartbeatAnswerJson(leases, registry_address_);
  }
  if (heartbeats_.size() >= kInstancesRemembered) heartbeats_.clear();
  const bool tell = heartbeats_[report.id.value]++ % kHeartbeatsPerAddress == 0;
  return http::HeartbeatAnswerJson(nullptr, tell ? hooks_.heartbeat_address(report) : "");
}

event_http::Response RegistryServer::ResponseFor(const control::OperatorAnswer& answer,
                                                 const event_http::Request& request) const {
  const bool accepted = std::holds_alternative<control::Accepted>(answer) ||
                        std::holds_alternative<control::KeyLeases>(answer);
  if (accepted) return JsonResponse(kOk, "{}");
  if (const auto* view = std::get_if<control::ConfigurationView>(&answer)) {
    return JsonResponse(200, http::ToJson(*view));
  }
  const auto* error = std::get_if<Error>(&answer);
  if (error == nullptr) return JsonResponse(500, "{}");
  const std::string body = http::ToJson(http::OperatorProblem{*error, ""});
  if (error->kind == ErrorKind::kNotLeader) {
    const std::string leader = hooks_.leader_address();
    if (leader.empty()) return JsonResponse(kServiceUnavailable, body);
    event_http::Response response;
    response.status = kTemporaryRedirect;
    response.fields.Add("Location", "http://" + leader + request.target);
    return response;
  }
  if (error->kind == ErrorKind::kOutcomeUnknown) return JsonResponse(kBadGateway, body);
  if (error->kind == ErrorKind::kVersionConflict) return JsonResponse(kPreconditionFailed, body);
  const int status = http::HttpStatus(error->kind);
  // Where the group can't take it now, another process may soon.
  return JsonResponse(status >= 500 ? kServiceUnavailable : status, body);
}

void RegistryServer::Log(const std::string& what, int status,
                         const control::OperatorAnswer& answer) {
  const auto* error = std::get_if<Error>(&answer);
  // Instances report everywhere until somebody leads: one such refusal is like all others.
  const bool heartbeat = what.ends_with(kHeartbeatSuffix);
  const bool plain = heartbeat && (error == nullptr || error->kind == ErrorKind::kNotLeader);
  runtime::EventLine line("registry_call");
  line.Add("call", what).Add("status", static_cast<std::int64_t>(status));
  if (error != nullptr) line.Add("error", ToString(*error));
  events_.Write(plain ? runtime::EventWeight::kOrdinary : runtime::EventWeight::kNotable, line);
}

}  // namespace graniteseam::daemon
