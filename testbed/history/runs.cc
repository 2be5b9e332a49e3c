// What ran, against what callers were told.
#include <algorithm>
#include <map>

#include "testbed/history/history.h"

namespace graniteseam::testbed {

namespace {

/// Everything known of one request: all its sendings and all its runs.
struct Request {
  std::vector<const AnswerRecord*> answers;
  std::vector<const RunRecord*> runs;
};

/// Requests by nonce; the sendings of one operation share one.
std::map<std::string, Request> CollectRequests(const History& history) {
  std::map<std::string, Request> requests;
  for (const auto& run : history.runs) requests[run.nonce].runs.push_back(&run);
  for (const auto& answer : history.answers) requests[answer.nonce].answers.push_back(&answer);
  return requests;
}

std::string Describe(const RunRecord& run) {
  return run.server + " ran it from " + std::to_string(run.begun_us) + " to " +
         std::to_string(run.ended_us) + " us (attempt " + run.attempt + ")";
}

std::string Describe(const AnswerRecord& answer) {
  return "sending " + std::to_string(answer.sending) + " through " + answer.router + " was told " +
         answer.outcome + " at " + std::to_string(answer.answered_us) + " us";
}

void CheckDoubled(const std::string& nonce, const Request& request,
                  std::vector<Violation>& violations) {
  if (request.runs.size() < 2 || request.runs.front()->operation.empty()) return;
  violations.push_back({ViolationKind::kDoubledRun, "Operation " + nonce + " ran " +
                                                        std::to_string(request.runs.size()) +
                                                        " times: " + Describe(*request.runs[0]) +
                                                        ", " + Describe(*request.runs[1]) + "."});
}

/// Whether some sending that was not told `not_run` can explain the run.
bool Explained(const RunRecord& run, const Request& request) {
  return std::any_of(request.answers.begin(), request.answers.end(), [&](const auto* answer) {
    return answer->outcome != "not_run" && answer->sent_us <= run.begun_us;
  });
}

void CheckNotRun(const std::string& nonce, const Request& request,
                 std::vector<Violation>& violations) {
  for (const auto* run : request.runs) {
    if (request.answers.empty()) continue;  // Its caller was stopped before it could write.
    if (!Explained(*run, request)) {
      violations.push_back(
          {ViolationKind::kRanThoughNotRun, "Request " + nonce + ": " + Describe(*run) + ", but " +
                                                Describe(*request.answers.front()) + "."});
    }
    if (run->operation.empty()) continue;
    // For an operation, `not_run` is a word about the operation: no earlier sending ran it either.
    for (const auto* answer : request.answers) {
      if (answer->outcome != "not_run" || run->ended_us > answer->answered_us) continue;
      violations.push_back(
          {ViolationKind::kRanThoughNotRun,
           "Operation " + nonce + ": " + Describe(*run) + ", and then " + Describe(*answer) + "."});
    }
  }
}

void CheckLost(const std::string& nonce, const Request& request,
               std::vector<Violation>& violations) {
  if (!request.runs.empty()) return;
  for (const auto* answer : request.answers) {
    const bool told_it_ran = answer->outcome == "answered" || answer->outcome == "kept";
    if (!told_it_ran || answer->status != 200) continue;
    violations.push_back({ViolationKind::kLostRun, "Request " + nonce + ": " + Describe(*answer) +
                                                       ", but no server ran it."});
  }
}

}  // namespace

std::vector<Violation> CheckRuns(const History& history) {
  std::vector<Violation> violations;
  for (const auto& [nonce, request] : CollectRequests(history)) {
    CheckDoubled(nonce, request, violations);
    CheckNotRun(nonce, request, violations);
    CheckLost(nonce, request, violations);
  }
  return violations;
}

std::vector<Violation> CheckAnswers(const History& history) {
  std::vector<Violation> violations;
  for (const auto& answer : history.answers) {
    const std::string request = "Request " + answer.nonce + ": " + Describe(answer);
    if (!answer.own) {
      violations.push_back(
          {ViolationKind::kCrossedAnswer, request + " with another request's answer."});
    }
    if (!answer.whole) {
      violations.push_back({ViolationKind::kTornAnswer, request + " with a part of an answer."});
    }
  }
  return violations;
}

}  // namespace graniteseam::testbed
