#include "src/runtime/settings_watch.h"

#include <criterion/criterion.h>
#include <sys/types.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace runtime = graniteseam::runtime;
using runtime::SettingsWatch;

namespace {

/// A file that is removed with this object.
class File {
 public:
  explicit File(const std::string& name)
      : path_((std::filesystem::temp_directory_path() /
               (name + "." + std::to_string(::getpid()) + ".toml"))
                  .string()) {}
  ~File() { std::filesystem::remove(path_); }
  void Write(const std::string& text) const { std::ofstream(path_) << text; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace

Test(settings_watch, each_content_is_a_change_once) {
  const File file("each_content");
  file.Write("a = 1");
  SettingsWatch watch(file.path());
  cr_assert_not(watch.TakeChange());
  file.Write("a = ");
  cr_assert(watch.TakeChange());
  cr_assert_not(watch.TakeChange(), "a faulty file is reported once");
  file.Write("a = 2");
  cr_assert(watch.TakeChange());
}

Test(settings_watch, file_that_is_gone_for_a_while_is_no_change) {
  const File file("gone");
  file.Write("a = 1");
  SettingsWatch watch(file.path());
  std::filesystem::remove(file.path());
  cr_assert_not(watch.TakeChange());
  file.Write("a = 1");
  cr_assert_not(watch.TakeChange());
}

Test(settings_watch, without_a_file_nothing_changes) {
  SettingsWatch watch("");
  cr_assert_not(watch.TakeChange());
}

// A process outside any group kept the seeds that it was started with.
Test(settings_watch, changed_file_is_read_without_a_signal_only_while_that_is_wanted) {
  const File file("without_a_signal");
  file.Write("a = 1");
  runtime::StopSignals stop;
  std::atomic<bool> wanted{false};
  std::atomic<int> reloads{0};
  std::atomic<int> looks{0};
  std::thread main([&] {
    runtime::WaitWithReloads(stop, file.path(),
                             {[&] {
                                ++looks;
                                return wanted.load();
                              },
                              [&] { ++reloads; }});
  });
  const auto wait_for_looks = [&](int more) {
    const int end = looks + more;
    while (looks < end) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  };
  wait_for_looks(1);
  file.Write("a = 2");
  wait_for_looks(2);
  cr_assert_eq(reloads, 0);
  wanted = true;
  wait_for_looks(3);
  cr_assert_eq(reloads, 1);
  stop.RequestStop();
  main.join();
}
