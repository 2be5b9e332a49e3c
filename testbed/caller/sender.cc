#include "testbed/caller/sender.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

namespace {

/// How much longer than its deadline a caller keeps the connection open for the answer.
constexpr Duration kReadMargin{500'000};

bool IsFinal(const AnswerRecord& answer) {
  return answer.outcome == "answered" || answer.outcome == "kept" || answer.kind == "not_found" ||
         answer.kind == "permission_denied" || answer.kind == "invalid_argument";
}

std::string Path(const PlannedRequest& request, const Stream& stream) {
  std::string path = "/v1/services/" + stream.service;
  if (stream.keyed) path += "/keys/" + request.key;
  return path + "/" + stream.rest + "?nonce=" + request.nonce +
         "&padding=" + std::to_string(stream.padding);
}

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

httplib::Headers RequestHeaders(const PlannedRequest& request, const Stream& stream,
                                Duration left) {
  httplib::Headers headers{{"Graniteseam-Group", stream.group},
                           {"Graniteseam-Deadline-Ms", std::to_string(Millis(left))},
                           {"Graniteseam-Request", request.nonce}};
  if (!request.operation.empty()) headers.emplace("Idempotency-Key", request.operation);
  return headers;
}

void ReadProblem(const httplib::Response& response, AnswerRecord& answer) {
  const auto problem = nlohmann::json::parse(response.body, nullptr, false);
  answer.kind = problem.is_object() ? problem.value("kind", "malformed_problem")
                                    : std::string("malformed_problem");
}

void ReadResponse(const httplib::Response& response, const Stream& stream, AnswerRecord& answer) {
  answer.status = response.status;
  answer.outcome = response.get_header_value("Graniteseam-Outcome");
  if (answer.outcome.empty()) answer.outcome = "without_outcome";
  const std::string echo = response.get_header_value("Graniteseam-Request");
  if (echo != answer.nonce) answer.own = false;
  const bool from_server = answer.outcome == "answered" || answer.outcome == "kept";
  if (!from_server || response.get_header_value("Content-Type") == "application/problem+json") {
    ReadProblem(response, answer);
  } else if (response.status == 200) {
    CheckAnswerBody(response.body, stream, answer);
  }
}

}  // namespace

void CheckAnswerBody(const std::string& body, const Stream& stream, AnswerRecord& answer) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    answer.whole = false;
    return;
  }
  answer.own = answer.own && json.value("nonce", "") == answer.nonce &&
               json.value("key", "") == answer.key &&
               json.value("operation", "") == answer.operation &&
               json.value("service", "") == answer.service;
  answer.whole = json.value("padding", "").size() == static_cast<std::size_t>(stream.padding);
}

Sender::Sender(const std::vector<runtime::SocketAddress>& routers, ResendPolicy policy,
               RecordFile& records)
    : policy_(policy), records_(records) {
  for (const auto& router : routers) {
    addresses_.push_back(runtime::ToString(router));
    auto client = std::make_unique<httplib::Client>(router.ip, router.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    clients_.push_back(std::move(client));
  }
}

AnswerRecord Sender::Send(const PlannedRequest& request, const Stream& stream,
                          std::size_t first_router) {
  AnswerRecord last;
  const Instant give_up = request.due + std::chrono::milliseconds(stream.deadline_ms);
  for (std::uint32_t sending = 1;; ++sending) {
    const std::size_t router = (first_router + sending - 1) % clients_.size();
    const Duration left =
        std::max(Duration(std::chrono::milliseconds(1)), give_up - runtime::BootTimeNow());
    last = SendOnce(request, stream, router, sending, left);
    records_.Append(last);
    if (IsFinal(last) || sending >= policy_.sendings_maximum) break;
    // An operation that may not be repeated is asked for beyond its deadline too: its caller must
    // find out what became of it.
    if (request.operation.empty() && runtime::BootTimeNow() + policy_.pause >= give_up) break;
    std::this_thread::sleep_for(policy_.pause);
  }
  return last;
}

AnswerRecord Sender::SendOnce(const PlannedRequest& request, const Stream& stream,
                              std::size_t router, std::uint32_t sending, Duration left) {
  AnswerRecord answer{
      .nonce = request.nonce,
      .operation = request.operation,
      .service = stream.service,
      .key = request.key,
      .group = stream.group,
      .router = addresses_[router],
      .sending = sending,
      .due_us = ToMicros(request.due),
      .deadline_us = Duration(std::chrono::milliseconds(stream.deadline_ms)).count(),
      .sent_us = ToMicros(runtime::BootTimeNow()),
      .outcome = "none",
      .kind = {}};
  auto& client = *clients_[router];
  client.set_connection_timeout(left);
  client.set_read_timeout(left + kReadMargin);
  const std::string path = Path(request, stream);
  const auto headers = RequestHeaders(request, stream, left);
  const auto response = request.operation.empty()
                            ? client.Get(path, headers)
                            : client.Post(path, headers, request.operation, "text/plain");
  answer.answered_us = ToMicros(runtime::BootTimeNow());
  if (response) ReadResponse(*response, stream, answer);
  return answer;
}

}  // namespace graniteseam::testbed
