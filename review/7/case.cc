// Clients on kept connections read their downloads slowly: each pauses once for four seconds, and
// has the whole answer long before its deadline if nobody ends it. Does the router let them?
#include "review/support-2/harness.h"

using namespace review;

namespace {

constexpr int kClients = 8;
constexpr std::size_t kBytes = 400'000;  // recording-downloads of the site: 540,000 at most.
constexpr double kDeadline = 8;          // Of the same.
constexpr double kPause = 4;

struct Outcome {
  bool first = false;  // The request that made the connection a kept one was answered.
  std::size_t got = 0;
  std::string end;
  double taken = 0;
  bool whole = false;
};

std::string Ask(const std::string& path, const std::string& attempt) {
  return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nGraniteseam-Attempt-Id: " + attempt +
         "\r\nGraniteseam-Deadline-Ms: " + std::to_string(static_cast<int>(kDeadline * 1000)) +
         "\r\n\r\n";
}

Outcome Download(const std::string& front, int number, double pause) {
  Outcome outcome;
  const int fd = Connect(front, 1);
  if (fd < 0) return outcome;
  std::string buffer;
  const std::string id = "a" + std::to_string(number);
  SendAll(fd, Ask("/d/small", id + "-small"));
  const auto small = ReadMessage(fd, buffer, false, Now() + 3);
  outcome.first = small && small->status == 200;
  NOTE("client %d: GET /d/small -> %d", number, small ? small->status : 0);
  const double sent = Now();
  SendAll(fd, Ask("/d/bytes-" + std::to_string(kBytes), id + "-large"));
  NOTE("client %d: GET /d/bytes-%zu, attempt %s-large, sent", number, kBytes, id.c_str());
  bool paused = false;
  std::size_t wanted = 0;
  for (outcome.end = "deadline"; Now() < sent + kDeadline;) {
    pollfd one{fd, POLLIN, 0};
    if (poll(&one, 1, 100) != 1) continue;
    char bytes[8192];
    const ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
    if (got <= 0) {
      outcome.end = got == 0 ? "closed" : std::strerror(errno);
      break;
    }
    buffer.append(bytes, static_cast<std::size_t>(got));
    const auto head = buffer.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    wanted = head + 4 + kBytes;
    if (!paused && buffer.size() > 20'000) {
      paused = true;
      Sleep(pause);
    }
    if (buffer.size() >= wanted) {
      outcome.end = "whole";
      outcome.whole = buffer.rfind("HTTP/1.1 200", 0) == 0;
      break;
    }
  }
  close(fd);
  outcome.got = buffer.size();
  outcome.taken = Now() - sent;
  NOTE("client %d: %s after %.3f s, with %zu bytes of about %zu", number, outcome.end.c_str(),
       outcome.taken, outcome.got, wanted);
  return outcome;
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  Log::Get().Open("review/7/record.txt");
  NOTE("trouble: %s", Trouble() ? "yes" : "no");
  Fleet fleet(3, 1);
  fleet.StartAll();
  const RouteText route{"r-1", "a.example", "/d/", "download", "nada-media", 8000, 2500, 2};
  const json configuration = ConfigurationJson(5, {route}, {{"nada-media", false}});
  const auto put =
      CallControl(fleet.Controls(), ConfigurationCall("PUT", 0, configuration.dump()), 20);
  NOTE("operator: PUT of version 5 -> %d", put.status);
  if (put.status != 200) return 2;
  std::vector<std::shared_ptr<Worker>> workers;
  for (int place = 1; place <= 4; ++place) {
    workers.push_back(std::make_shared<Worker>("i-" + std::to_string(place), "nada-media",
                                               fleet.Zone(place), fleet.WorkerAddress(place),
                                               fleet.Controls(), false));
    workers.back()->BeginHeartbeats();
  }
  if (!fleet.AwaitReady(20)) return 2;
  Sleep(4);  // In touch for longer than `contact`.

  std::vector<Outcome> outcomes(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back(
        [&, i] { outcomes[i] = Download(fleet.Front(1), i, Trouble() ? kPause : 0); });
  for (std::thread& client : clients) client.join();
  if (!fleet.Runs(4)) NOTE("the router does not run any more");

  int lost = 0;
  for (int i = 0; i < kClients; ++i) {
    bool ran = false;
    const std::string attempt = "a" + std::to_string(i) + "-large";
    for (const auto& worker : workers)
      for (const auto& run : worker->runs()) ran = ran || run.attempt == attempt;
    if (!outcomes[i].first) return 2;
    const bool ended = !outcomes[i].whole && outcomes[i].end != "deadline";
    NOTE("attempt %s: %s by a worker, %s", attempt.c_str(), ran ? "run" : "not run",
         outcomes[i].whole ? "answered" : "not answered");
    if (ran && ended) ++lost;
  }
  NOTE(
      "requests from kept connections that were passed on to a sound worker and whose connection "
      "ended without an answer: %d (more than 3 break the rule)",
      lost);
  NOTE("rule LOST %s", lost > 3 ? "is broken" : "holds");
  return lost > 3 ? 1 : 0;
}
