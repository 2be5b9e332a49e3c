#include "src/daemon/operator_cli/event_story.h"

#include <algorithm>
#include <istream>
#include <set>

#include "src/daemon/operator_cli/event_line.h"

namespace graniteseam::operator_cli {
namespace {

using nlohmann::json;

/// Beliefs so long before a request's first event and after its last are shown with it.
constexpr std::int64_t kBeliefsBeforeMs = 2'000;
constexpr std::int64_t kBeliefsAfterMs = 500;

auto text_of(json const& object, char const* name) -> std::string {
  auto const it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

auto number_of(json const& object, char const* name) -> std::int64_t {
  auto const it = object.find(name);
  return it != object.end() && it->is_number() ? it->get<std::int64_t>() : 0;
}

auto is_told_elsewhere(std::string_view name) -> bool {
  static constexpr std::string_view kNames[] = {"at_ms",    "wall_ms", "process",
                                                "event",    "request", "after_us",
                                                "instance", "outcome", "dropped"};
  return std::find(std::begin(kNames), std::end(kNames), name) != std::end(kNames);
}

auto details_of(json const& object) -> std::string {
  std::string details;
  for (auto const& [name, value] : object.items()) {
    if (is_told_elsewhere(name)) continue;
    auto const text = value.is_string() ? value.get<std::string>() : value.dump();
    if (text.empty()) continue;
    if (!details.empty()) details += ", ";
    if (name != "inputs") details.append(name).append(" ");
    details += text;
  }
  return details;
}

auto is_belief(LoggedEvent const& event) -> bool { return event.request.empty(); }

/// An order to an owner that was carried out as always says nothing new.
auto is_news(LoggedEvent const& event) -> bool {
  return event.event != "grant" || event.outcome != "done";
}

/// What a gateway's outcome means for the caller, by the name that the log gives it.
struct OutcomeMeaning {
  std::string_view outcome;
  std::string_view meaning;
};

constexpr OutcomeMeaning kMeanings[] = {
    {"overloaded", "No server had room for it in time; it was offered to none and did not run."},
    {"no_owner", "Its key had no owner that this gateway could reach; it did not run."},
    {"owner_fails",
     "The owner of its key had failed just before, for other requests; it did not run."},
    {"stale_owner",
     "The owner of its key that this gateway knew had lost the key; it did not run."},
    {"quarantined",
     "Servers ended one after the other under requests that asked for the same; it did not run."},
    {"no_server", "No server of its service took work; it did not run."},
    {"no_configuration", "This gateway had no configuration yet; it did not run."},
    {"no_route", "The configuration in force here has no route for it."},
    {"bad_key", "It carried no key from 0 to 65535, and its service is keyed."},
    {"retry_budget", "A server did not run it, and the retry budget was used up; it did not run."},
    {"attempts_used", "Servers did not run it, and no further one might be tried; it did not run."},
    {"deadline", "Its time was over before a server could be found; it did not run."},
};

auto cause_of_refusal(std::string_view outcome, LoggedEvent const& last) -> std::string {
  if (outcome == "outcome_unknown") {
    auto const server = last.instance.empty() ? std::string("a server") : last.instance;
    return "It was sent to " + server + " and no whole answer came (" + last.details +
           "); it may have run.";
  }
  auto const* const it = std::find_if(std::begin(kMeanings), std::end(kMeanings),
                                      [&](auto const& one) { return one.outcome == outcome; });
  if (it != std::end(kMeanings)) return std::string(it->meaning);
  return "Its outcome \"" + std::string(outcome) + "\" has no explanation here.";
}

auto cause_of(std::span<LoggedEvent const> events) -> std::string {
  if (events.empty())
    return "No log given here has a line of it. Plain successes are told one in 64.";
  LoggedEvent const* answer = nullptr;
  LoggedEvent const* last_attempt = &events.front();
  LoggedEvent const* rejection = nullptr;
  bool failed = false;
  for (auto const& it : events) {
    if (it.event == "slot_rejected") rejection = &it;
    if (it.event == "answer") answer = &it;
    if (it.event == "send" && !failed) last_attempt = &it;
    if (it.event == "attempt_failed" || it.event == "give_up") last_attempt = &it, failed = true;
  }
  if (answer == nullptr)
    return "It was taken and no answer is logged: its caller left, or the process ended.";
  if (answer->outcome == "overloaded" && rejection != nullptr) {
    return "The coordinator of " + rejection->instance + " saw no room for it there in time (" +
           rejection->details + "); it did not run.";
  }
  if (answer->outcome != "relayed") return cause_of_refusal(answer->outcome, *last_attempt);
  return failed ? "A server's answer was passed on after attempts that failed."
                : "A server's answer was passed on at the first attempt.";
}

auto by_time(LoggedEvent const& a, LoggedEvent const& b) -> bool { return a.wall_ms < b.wall_ms; }

}  // namespace

auto parse_events(std::istream& log, ParsedLog& parsed) -> void {
  for (std::string line; std::getline(log, line);) {
    if (line.find('{') == std::string::npos) continue;
    auto const object = event_in(line);
    if (!object.is_object()) {
      ++parsed.unreadable;
      continue;
    }
    auto& event = parsed.events.emplace_back();
    event.wall_ms = number_of(object, "wall_ms");
    event.process = text_of(object, "process");
    event.event = text_of(object, "event");
    event.request = text_of(object, "request");
    event.after_us = number_of(object, "after_us");
    event.instance = text_of(object, "instance");
    event.outcome = text_of(object, "outcome");
    event.details = details_of(object);
    event.dropped = static_cast<std::uint64_t>(number_of(object, "dropped"));
  }
}

auto story_of(std::span<LoggedEvent const> events, std::string_view request) -> RequestStory {
  RequestStory story;
  story.request = request;
  std::set<std::string> concerned;
  for (auto const& it : events) {
    if (it.request != request) continue;
    story.events.push_back(it);
    concerned.insert(it.process);
    if (!it.instance.empty()) concerned.insert(it.instance);
  }
  std::stable_sort(story.events.begin(), story.events.end(), [](auto const& a, auto const& b) {
    return std::pair(a.process, a.after_us) < std::pair(b.process, b.after_us);
  });
  story.cause = cause_of(story.events);
  if (story.events.empty()) return story;
  auto const [first, last] = std::minmax_element(story.events.begin(), story.events.end(), by_time);
  auto const from = first->wall_ms - last->after_us / 1'000 - kBeliefsBeforeMs;
  auto const to = last->wall_ms + kBeliefsAfterMs;
  for (auto const& it : events) {
    auto const near = it.wall_ms >= from && it.wall_ms <= to;
    auto const about = concerned.contains(it.process) || concerned.contains(it.instance) ||
                       it.event == "leads" || it.event == "follows";
    if (is_belief(it) && near && about && is_news(it)) story.beliefs.push_back(it);
  }
  std::stable_sort(story.beliefs.begin(), story.beliefs.end(), by_time);
  return story;
}

auto time_line(std::span<LoggedEvent const> events) -> std::vector<LoggedEvent> {
  std::vector<LoggedEvent> line;
  std::copy_if(events.begin(), events.end(), std::back_inserter(line),
               [](auto const& it) { return is_belief(it) && is_news(it); });
  std::stable_sort(line.begin(), line.end(), by_time);
  return line;
}

}  // namespace graniteseam::operator_cli
