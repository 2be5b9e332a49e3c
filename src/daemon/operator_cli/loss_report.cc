#include "src/daemon/operator_cli/loss_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <istream>

#include "src/daemon/operator_cli/event_line.h"

namespace graniteseam::operator_cli {
namespace {

using nlohmann::json;

/// Larger numbers are no times or counts of a request, and sums of them could overflow.
constexpr std::int64_t kNumberMaximum = 1'000'000'000'000;
constexpr double kMedian = 0.5;
constexpr double kNinetyNinth = 0.99;

auto text_of(json const& object, char const* name) -> std::optional<std::string> {
  auto const it = object.find(name);
  if (it == object.end() || !it->is_string()) return std::nullopt;
  return it->get<std::string>();
}

/// A whole number from 0 to kNumberMaximum.
auto number_of(json const& value) -> std::optional<std::int64_t> {
  if (!value.is_number_integer()) return std::nullopt;
  if (value.is_number_unsigned() && value.get<std::uint64_t>() > kNumberMaximum) {
    return std::nullopt;
  }
  auto const number = value.get<std::int64_t>();
  return number < 0 ? std::nullopt : std::optional(number);
}

/// Reads a member that may be absent.
/// @return false when it is there and no number.
auto read_number(json const& object, char const* name, std::optional<std::int64_t>& number)
    -> bool {
  auto const it = object.find(name);
  if (it == object.end()) return true;
  number = number_of(*it);
  return number.has_value();
}

/// Takes the server's state from the inputs of a "send" line: "load 8.0 of 3, reported 114 ms ago,
/// latency 106 ms".
auto read_server(std::string const& inputs, RequestFacts& facts) -> void {
  facts.usual_latency.reset();
  facts.server_was_full = false;
  double load = 0;
  double slots = 0;
  if (std::sscanf(inputs.c_str(), "load %lf of %lf", &load, &slots) == 2) {
    facts.server_was_full = load >= slots;
  }
  auto const at = inputs.find("latency ");
  double latency_ms = 0;
  if (at == std::string::npos) return;
  if (std::sscanf(inputs.c_str() + at, "latency %lf ms", &latency_ms) != 1) return;
  constexpr double kMicrosPerMs = 1'000;
  auto const micros = latency_ms * kMicrosPerMs;
  if (micros >= 0 && micros <= static_cast<double>(kNumberMaximum)) {
    facts.usual_latency = std::llround(micros);
  }
}

auto percentile(std::vector<std::pair<std::int64_t, std::uint64_t>> const& sorted, double part)
    -> std::int64_t {
  std::uint64_t total = 0;
  for (auto const& [time, requests] : sorted) total += requests;
  auto const rank = std::max(1.0, std::ceil(part * static_cast<double>(total)));
  std::uint64_t counted = 0;
  for (auto const& [time, requests] : sorted) {
    counted += requests;
    if (static_cast<double>(counted) >= rank) return time;
  }
  return 0;
}

}  // namespace

struct LossCounter::Line {
  json object;
  std::string event;
  RequestKey key;
  std::int64_t after = 0;
};

auto LossCounter::read(std::istream& log) -> void {
  for (std::string text; std::getline(log, text);) {
    if (text.empty()) continue;
    Line line{event_in(text), {}, {}, 0};
    auto const event = line.object.is_object() ? text_of(line.object, "event") : std::nullopt;
    if (!event) {
      ++m_unreadable;
      continue;
    }
    line.event = *event;
    m_has_events = true;
    add(line);
  }
}

auto LossCounter::add(Line& line) -> void {
  std::optional<std::int64_t> dropped;
  read_number(line.object, "dropped", dropped);
  m_dropped += static_cast<std::uint64_t>(dropped.value_or(0));
  auto const request = text_of(line.object, "request");
  if (!request) {
    if (line.event == "answer") ++m_unreadable;
    return;
  }
  line.key = {text_of(line.object, "process").value_or(""), *request};
  std::optional<std::int64_t> after;
  if (!read_number(line.object, "after_us", after) || !after) {
    ++m_unreadable;
    return;
  }
  line.after = *after;
  if (line.event == "answer") return add_answer(line);
  add_decision(m_open[line.key], line);
}

auto LossCounter::end_slot_wait(OpenRequest& request, std::int64_t at) -> void {
  // A wait after the first sending belongs to the retry.
  if (request.slot_asked_at && !request.facts.first_sent_at) {
    request.facts.slot_wait += at - *request.slot_asked_at;
  }
  request.slot_asked_at.reset();
}

auto LossCounter::add_decision(OpenRequest& request, Line const& line) -> void {
  RequestFacts& facts = request.facts;
  if (line.event == "slot_asked") {
    end_slot_wait(request, line.after);
    facts.slot_asked = true;
    request.slot_asked_at = line.after;
  } else if (line.event == "slot_granted" || line.event == "slot_timeout") {
    end_slot_wait(request, line.after);
  } else if (line.event == "slot_rejected") {
    end_slot_wait(request, line.after);
    facts.slot_rejected = true;
  } else if (line.event == "send") {
    end_slot_wait(request, line.after);
    if (!facts.first_sent_at) facts.first_sent_at = line.after;
    facts.last_sent_at = line.after;
    read_server(text_of(line.object, "inputs").value_or(""), facts);
  } else if (line.event == "attempt_failed") {
    facts.attempt_failed = true;
  } else if (line.event == "give_up") {
    facts.gave_up = true;
  }
}

auto LossCounter::add_answer(Line const& line) -> void {
  auto const found = m_open.find(line.key);
  OpenRequest request;
  if (found != m_open.end()) {
    request = std::move(found->second);
    m_open.erase(found);
  }
  RequestFacts& facts = request.facts;
  auto const& object = line.object;
  auto const outcome = text_of(object, "outcome");
  std::optional<std::int64_t> status;
  std::optional<std::int64_t> connection_wait;
  std::optional<std::int64_t> age;
  std::optional<std::int64_t> sampled;
  std::optional<std::int64_t> sent_at;
  auto const sound = outcome && read_number(object, "status", status) && status &&
                     read_number(object, "connection_wait_us", connection_wait) &&
                     read_number(object, "age_us", age) &&
                     read_number(object, "sampled", sampled) &&
                     read_number(object, "sent_after_us", sent_at) &&
                     read_number(object, "target_us", facts.target) &&
                     read_number(object, "work_percent", facts.work_percent);
  if (!sound) {
    ++m_unreadable;
    return;
  }
  end_slot_wait(request, line.after);
  facts.outcome = *outcome;
  facts.status = *status;
  facts.answered_at = line.after;
  facts.connection_wait = connection_wait.value_or(0);
  facts.age = age.value_or(0);
  // The line of the sending may be missing.
  if (!facts.first_sent_at) facts.first_sent_at = sent_at;
  count(facts, static_cast<std::uint64_t>(std::max<std::int64_t>(1, sampled.value_or(1))));
}

auto LossCounter::count(RequestFacts const& request, std::uint64_t requests) -> void {
  m_requests += requests;
  if (request.outcome == "relayed" && !request.target) m_without_target += requests;
  auto const loss = decide_loss(request);
  if (loss.kind == LossKind::kNone) return;
  auto& losses = m_losses[loss.cause];
  if (loss.kind == LossKind::kLate) losses.counts.late += requests;
  if (loss.kind == LossKind::kRefused) losses.counts.refused += requests;
  if (loss.kind == LossKind::kFailed) losses.counts.failed += requests;
  losses.times.emplace_back(std::max<std::int64_t>(0, loss.lost), requests);
}

auto LossCounter::report() const -> LossReport {
  LossReport report;
  report.requests = m_requests;
  report.without_target = m_without_target;
  report.unanswered = m_open.size();
  report.unreadable = m_unreadable;
  report.dropped = m_dropped;
  for (auto const& [cause, losses] : m_losses) {
    auto& row = report.causes.emplace_back(losses.counts);
    row.cause = cause;
    auto const lost = row.late + row.refused + row.failed;
    row.share = static_cast<double>(lost) / static_cast<double>(m_requests);
    auto times = losses.times;
    std::sort(times.begin(), times.end());
    row.p50_us = percentile(times, kMedian);
    row.p99_us = percentile(times, kNinetyNinth);
  }
  return report;
}

}  // namespace graniteseam::operator_cli
