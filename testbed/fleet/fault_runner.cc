#include "testbed/fleet/fault_runner.h"

#include <csignal>

#include "src/runtime/clock.h"
#include "testbed/fleet/bundle_file.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr int kExitConflictTries = 2;
constexpr Duration kRetryPause{500'000};
constexpr int kCommandTries = 10;

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const auto& word : words) text += (text.empty() ? "" : " ") + word;
  return text;
}

std::string FirstLine(const std::string& text) { return text.substr(0, text.find('\n')); }

}  // namespace

FaultRunner::FaultRunner(Fleet& fleet, const OperatorConsole& console, RecordFile& records,
                         const runtime::Logger& log)
    : fleet_(fleet),
      console_(console),
      records_(records),
      log_(log),
      start_(runtime::BootTimeNow()) {
  for (const auto& fault : fleet_.scenario().faults) {
    schedule_.emplace(start_ + fault.at, [this, fault] { return Run(fault); });
  }
}

FaultRunner::~FaultRunner() { Finish(); }

Result<void> FaultRunner::RunDue() {
  while (!schedule_.empty() && schedule_.begin()->first <= runtime::BootTimeNow()) {
    const auto work = schedule_.begin()->second;
    schedule_.erase(schedule_.begin());
    BOOST_LEAF_CHECK(work());
  }
  return {};
}

void FaultRunner::Finish() {
  for (auto& thread : beside_) thread.join();
  beside_.clear();
}

Result<void> FaultRunner::Run(const Fault& fault) {
  switch (fault.action) {
    case FaultAction::kRoll:
      return RunRoll();
    case FaultAction::kRace:
      return RunRace();
    case FaultAction::kJoin:
      for (const auto& service : fault.target) {
        BOOST_LEAF_AUTO(name, fleet_.Join(service));
        Note("join " + name);
      }
      return {};
    case FaultAction::kMove:
      for (const auto& service : fault.target) RunMove(service);
      return {};
    default:
      break;
  }
  BOOST_LEAF_AUTO(names, fleet_.Select(fault.target, [this] { return Leader(); }));
  Note(FaultActionName(fault.action) + " " + Join(names));
  if (fault.action == FaultAction::kCut || fault.action == FaultAction::kHeal) {
    return RunCut(fault, names);
  }
  return RunOnMembers(fault, names);
}

Result<void> FaultRunner::RunOnMembers(const Fault& fault, const std::vector<std::string>& names) {
  for (const auto& name : names) BOOST_LEAF_CHECK(RunOnMember(fault, name));
  if (fault.lasts <= Duration(0)) return {};
  Fault undo;
  if (fault.action == FaultAction::kPause) undo.action = FaultAction::kResume;
  if (fault.action == FaultAction::kKill) undo.action = FaultAction::kRestart;
  if (undo.action == FaultAction::kKill) return {};
  undo.target = names;
  After(fault.lasts, [this, undo] { return Run(undo); });
  return {};
}

Result<void> FaultRunner::RunOnMember(const Fault& fault, const std::string& name) {
  switch (fault.action) {
    case FaultAction::kKill:
      fleet_.Kill(name);
      return {};
    case FaultAction::kRestart:
      NoteLeaving(name, false);
      return fleet_.Start(name);
    case FaultAction::kStop:
      fleet_.Signal(name, SIGTERM);
      return {};
    case FaultAction::kPause:
      fleet_.Signal(name, SIGSTOP);
      return {};
    case FaultAction::kResume:
      fleet_.Signal(name, SIGCONT);
      return {};
    case FaultAction::kLoseDisk:
      return fleet_.LoseDisk(name);
    case FaultAction::kLeave:
      NoteLeaving(name, true);
      return fleet_.Leave(name);
    case FaultAction::kReplace:
      RunReplace(name);
      return {};
    case FaultAction::kDrain:
      RunCommand({"server", "drain", name}, [this, name] { NoteLeaving(name, true); });
      return {};
    case FaultAction::kUndrain:
      NoteLeaving(name, false);
      RunCommand({"server", "undrain", name});
      return {};
    default:
      return Fail(ErrorKind::kInternal, "An action is not run on members.", "Report this.");
  }
}

Result<void> FaultRunner::RunCut(const Fault& fault, const std::vector<std::string>& names) {
  std::vector<std::string> others;
  if (!fault.to.empty()) {
    BOOST_LEAF_ASSIGN(others, fleet_.Select(fault.to, [this] { return Leader(); }));
  } else {
    const std::set<std::string> cut_off(names.begin(), names.end());
    for (const auto role : {Role::kControl, Role::kRouter, Role::kServer, Role::kCaller}) {
      for (auto& name : fleet_.Names(role)) {
        if (!cut_off.contains(name)) others.push_back(std::move(name));
      }
    }
  }
  if (fault.action == FaultAction::kHeal) {
    fleet_.Heal(names, others);
    return {};
  }
  fleet_.Cut(names, others, fault.one_way);
  if (fault.lasts <= Duration(0)) return {};
  After(fault.lasts, [this, names, others]() -> Result<void> {
    Note("heal " + Join(names));
    fleet_.Heal(names, others);
    return {};
  });
  return {};
}

Result<std::string> FaultRunner::WriteNextBundle(const std::string& author) {
  std::vector<std::string> files;
  for (const auto& deployment : fleet_.scenario().deployments) files.push_back(deployment.bundle);
  BOOST_LEAF_AUTO(text, JoinBundles(files, bundle_version_ + 1, author));
  std::string path = fleet_.paths().folder + "/bundle-" + std::to_string(bundle_version_ + 1) +
                     "-" + author + ".toml";
  BOOST_LEAF_CHECK(WriteTextFile(path, text));
  return path;
}

Result<void> FaultRunner::RunRoll() {
  BOOST_LEAF_AUTO(file, WriteNextBundle("fleet-author"));
  const std::uint64_t version = ++bundle_version_;
  Note("roll bundle version " + std::to_string(version));
  Beside([this, file, version] { RollAndNote(file, version); });
  return {};
}

void FaultRunner::RollAndNote(const std::string& file, std::uint64_t version) {
  for (int attempt = 0; attempt < kCommandTries; ++attempt) {
    const auto rolled = Attempt([&] { return console_.Roll(file); });
    const auto* result = std::get_if<CommandResult>(&rolled);
    if (result != nullptr && result->exit_code == 0) {
      const std::int64_t now = ToMicros(runtime::BootTimeNow());
      records_.Append(VersionRecord{"operator", version, now, now, true});
      Note("bundle version " + std::to_string(version) + " is rolled");
      return;
    }
    if (result != nullptr) Note("roll: " + FirstLine(result->output));
    std::this_thread::sleep_for(kRetryPause);
  }
  NoteProblem("bundle version " + std::to_string(version) + " could not be rolled");
}

Result<void> FaultRunner::RunRace() {
  BOOST_LEAF_AUTO(left, WriteNextBundle("fleet-author"));
  BOOST_LEAF_AUTO(right, WriteNextBundle("second-author"));
  const std::uint64_t version = ++bundle_version_;
  Note("two operators race for bundle version " + std::to_string(version));
  Beside([this, left, right, version] {
    std::map<std::string, bool> won;
    const auto race = [&](const std::string& file, bool& rolled) {
      // An operator whose answer was lost sends again; the verdict must stay the same.
      for (int attempt = 0; attempt < kExitConflictTries; ++attempt) {
        const auto outcome = Attempt([&] { return console_.Roll(file); });
        const auto* result = std::get_if<CommandResult>(&outcome);
        rolled = result != nullptr && result->exit_code == 0;
      }
    };
    bool& left_won = won[left];
    bool& right_won = won[right];
    std::thread other([&] { race(right, right_won); });
    race(left, left_won);
    other.join();
    if (left_won && right_won) {
      NoteProblem("both racers were told that their version " + std::to_string(version) +
                  " is rolled");
    } else if (!left_won && !right_won) {
      NoteProblem("neither racer could roll version " + std::to_string(version));
    } else {
      const std::int64_t now = ToMicros(runtime::BootTimeNow());
      records_.Append(VersionRecord{"operator", version, now, now, true});
      Note(std::string(left_won ? "the first" : "the second") + " racer's version " +
           std::to_string(version) + " is rolled, the other was refused");
    }
  });
  return {};
}

void FaultRunner::RunMove(const std::string& service) {
  Beside([this, service] {
    const auto shards = Attempt([this] { return console_.Shards(); });
    const auto* view = std::get_if<control::ShardsView>(&shards);
    if (view == nullptr) return Note("move: " + ErrorOf(shards)->message);
    const control::ShardEntry* moved = nullptr;
    std::string target;
    for (const auto& entry : view->shards) {
      if (entry.shard.service.value != service) continue;
      if (moved == nullptr) moved = &entry;
      if (entry.owner != moved->owner) target = entry.owner.value;
    }
    if (moved == nullptr || target.empty()) return Note("move: there is no other owner");
    const std::vector<std::string> words{"shard", "move", service,
                                         std::to_string(moved->shard.index), target};
    const auto outcome = Attempt([&] { return console_.Run(words); });
    const auto* result = std::get_if<CommandResult>(&outcome);
    Note(Join(words) + ": " + (result ? FirstLine(result->output) : ErrorOf(outcome)->message));
  });
}

void FaultRunner::RunReplace(const std::string& name) {
  const auto& member = fleet_.member(name);
  RunCommand({"control", "replace", std::to_string(member.control_id),
              runtime::ToString(member.http_address())});
}

void FaultRunner::NoteLeaving(const std::string& server, bool leaving) {
  records_.Append(LeavingRecord{server, ToMicros(runtime::BootTimeNow()), leaving});
}

void FaultRunner::RunCommand(const std::vector<std::string>& words,
                             const std::function<void()>& accepted) {
  Beside([this, words, accepted] {
    for (int attempt = 0; attempt < kCommandTries; ++attempt) {
      const auto outcome = Attempt([&] { return console_.Run(words); });
      const auto* result = std::get_if<CommandResult>(&outcome);
      Note(Join(words) + ": " + (result ? FirstLine(result->output) : ErrorOf(outcome)->message));
      if (result != nullptr && result->exit_code == 0) {
        if (accepted) accepted();
        return;
      }
      std::this_thread::sleep_for(kRetryPause);
    }
    NoteProblem("no success: " + Join(words));
  });
}

void FaultRunner::Beside(std::function<void()> work) { beside_.emplace_back(std::move(work)); }

void FaultRunner::After(Duration delay, std::function<Result<void>()> work) {
  schedule_.emplace(runtime::BootTimeNow() + delay, std::move(work));
}

void FaultRunner::Note(const std::string& what) {
  const double at =
      static_cast<double>((runtime::BootTimeNow() - start_).count()) / kMicrosPerSecond;
  log_.Info("At {:.1f} s: {}.", at, what);
  const std::lock_guard lock(mutex_);
  events_.push_back({at, what});
}

void FaultRunner::NoteProblem(const std::string& what) {
  Note("PROBLEM: " + what);
  const std::lock_guard lock(mutex_);
  problems_.push_back(what);
}

std::vector<FaultEvent> FaultRunner::Events() const {
  const std::lock_guard lock(mutex_);
  return events_;
}

std::vector<std::string> FaultRunner::Problems() const {
  const std::lock_guard lock(mutex_);
  return problems_;
}

std::string FaultRunner::Leader() const {
  const auto view = Attempt([this] { return console_.Fleet(); });
  const auto* fleet = std::get_if<control::FleetView>(&view);
  if (fleet == nullptr || !fleet->leader) return "no leader";
  return "control-" + std::to_string(fleet->leader->id.value);
}

}  // namespace graniteseam::testbed
