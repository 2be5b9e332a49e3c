#include "testbed/fleet_session/request_view.h"

#include <algorithm>

namespace graniteseam::testbed {

namespace {

constexpr double kMicrosPerMilli = 1e3;

RequestView ViewOf(const AnswerRecord& last) {
  const bool from_server = last.outcome == "answered" || last.outcome == "kept";
  const bool in_time = last.answered_us - last.due_us <= last.deadline_us;
  const std::string ending = from_server ? "late" : last.outcome + " " + last.kind;
  return {last.service,           last.key, last.router, last.due_us, last.answered_us,
          from_server && in_time, ending};
}

}  // namespace

double RequestView::LatencyMs() const {
  return static_cast<double>(done_us - due_us) / kMicrosPerMilli;
}

std::vector<RequestView> RequestsOf(const std::vector<AnswerRecord>& answers) {
  // A request that is sent once more after its answer has another due time.
  std::map<std::pair<std::string, std::int64_t>, const AnswerRecord*> last;
  for (const AnswerRecord& answer : answers) {
    const AnswerRecord*& slot = last[{answer.nonce, answer.due_us}];
    if (slot == nullptr || answer.sending > slot->sending) slot = &answer;
  }
  std::vector<RequestView> requests;
  requests.reserve(last.size());
  for (const auto& [name, answer] : last) requests.push_back(ViewOf(*answer));
  std::sort(requests.begin(), requests.end(),
            [](const auto& left, const auto& right) { return left.due_us < right.due_us; });
  return requests;
}

std::vector<double> UnavailableMs(const std::vector<RequestView>& requests,
                                  const std::vector<Disturbance>& disturbances,
                                  const ShardOf& shard_of, double delayed_ms) {
  std::vector<double> lengths;
  for (const Disturbance& disturbance : disturbances) {
    std::map<ShardId, std::int64_t> ends;
    const auto first = std::lower_bound(
        requests.begin(), requests.end(), disturbance.from_us,
        [](const RequestView& request, std::int64_t at) { return request.due_us < at; });
    for (auto request = first; request != requests.end() && request->due_us < disturbance.until_us;
         ++request) {
      if (request->key.empty()) continue;
      if (request->answered && request->LatencyMs() <= delayed_ms) continue;
      const ShardId shard = shard_of(request->service, request->key);
      if (!disturbance.shards.contains(shard)) continue;
      ends[shard] = std::max(ends[shard], request->done_us);
    }
    for (const auto& [shard, end] : ends) {
      lengths.push_back(static_cast<double>(end - disturbance.from_us) / kMicrosPerMilli);
    }
  }
  return lengths;
}

std::map<std::string, std::uint64_t> FailuresOf(const std::vector<RequestView>& requests) {
  std::map<std::string, std::uint64_t> failures;
  for (const RequestView& request : requests) {
    if (!request.answered) ++failures[request.service + ": " + request.ending];
  }
  return failures;
}

std::uint64_t FailedCount(const std::vector<RequestView>& requests, const std::string& service) {
  return static_cast<std::uint64_t>(
      std::count_if(requests.begin(), requests.end(), [&](const RequestView& request) {
        return !request.answered && (service.empty() || request.service == service);
      }));
}

}  // namespace graniteseam::testbed
