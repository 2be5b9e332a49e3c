// A heartbeat that a cut holds up arrives after its sender has crashed and a new incarnation has
// registered at the same address. Is any key held by two workers at once?
#include "review/support-2/harness.h"

using namespace review;

namespace {

// The longest cut of a worker that the site files have (srv_cut of sesdeki-gw-grown, scale-1).
constexpr double kCut = 11.6;

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  Log::Get().Open("review/4/record.txt");
  NOTE("trouble: %s", Trouble() ? "yes" : "no");
  Fleet fleet(3, 1);
  fleet.StartAll();
  const json configuration =
      ConfigurationJson(5, {{"r-1", "a.example", "/k/", "safe", "metin"}}, {{"metin", true}});
  const auto put =
      CallControl(fleet.Controls(), ConfigurationCall("PUT", 0, configuration.dump()), 20);
  NOTE("operator: PUT of version 5 -> %d", put.status);
  if (put.status != 200) return 2;

  HoldWatch watch;
  std::vector<std::shared_ptr<Worker>> workers;
  const auto add = [&](const std::string& id, int place) {
    workers.push_back(std::make_shared<Worker>(id, "metin", fleet.Zone(place),
                                               fleet.WorkerAddress(place), fleet.Controls(), true));
    watch.Add(workers.back());
    return workers.back();
  };
  for (int place = 2; place <= 3; ++place)
    add("i-other-" + std::to_string(place), place)->BeginHeartbeats();
  Sleep(1);

  // The worker's first life: its first heartbeat goes to core machine 3 and is held up by the cut.
  std::string held;
  {
    Worker first("i-life-1", "metin", fleet.Zone(1), fleet.WorkerAddress(1), {}, true);
    Message call = first.HeartbeatCall();
    call.fields.insert(call.fields.begin(), {"Host", fleet.Control(3)});
    held = TextOf(call, true);
    NOTE("worker i-life-1 sends its first heartbeat to core machine 3; the cut holds it up");
    Sleep(0.1);
  }
  const double cut_since = Now() - 0.1;
  // A new incarnation at the same address, registered at the core machines that it reaches.
  auto second =
      std::make_shared<Worker>("i-life-2", "metin", fleet.Zone(1), fleet.WorkerAddress(1),
                               std::vector<std::string>{fleet.Control(1), fleet.Control(2)}, true);
  watch.Add(second);
  second->BeginHeartbeats();
  watch.Begin();
  if (!fleet.AwaitReady(10)) return 2;
  for (double end = Now() + 8; Now() < end && second->HeldCount() == 0;) Sleep(0.05);
  NOTE("worker i-life-2 holds %zu keys", second->HeldCount());
  if (second->HeldCount() == 0) return 2;

  SleepUntil(cut_since + kCut);
  NOTE("worker i-life-2 holds %zu keys as the cut heals", second->HeldCount());
  if (Trouble()) {
    const int fd = Connect(fleet.Control(3), 1);
    const bool sent = fd >= 0 && SendAll(fd, held);
    NOTE("the cut has healed: the heartbeat of i-life-1 arrives %.1f s late (%s)",
         Now() - cut_since, sent ? "sent" : "not sent");
    Sleep(0.1);
    if (fd >= 0) close(fd);
    if (!sent) return 2;
  }
  Sleep(8);
  watch.End();
  for (int machine = 1; machine <= 4; ++machine)
    if (!fleet.Runs(machine)) NOTE("machine %d does not run any more", machine);
  NOTE("keys that two workers held for over half a second: %zu, the longest for %.3f s",
       watch.keys(), watch.longest());
  const bool broken = watch.longest() > 0.5;
  NOTE("rule OWNER %s", broken ? "is broken" : "holds");
  return broken ? 1 : 0;
}
