/// @file
/// Little processor time for chosen processes: each may use a part of every tenth of a second at full
/// speed, and stands still for the rest of it.
#pragma once

#include <sys/types.h>

#include <map>
#include <mutex>
#include <thread>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed::soak {

/// Stops and continues processes by SIGSTOP and SIGCONT, by the processor time that they took. Lifecycle:
/// runs from construction on; destruction lets all go on. Thread safe.
class ProcessorQuota {
public:
    /// @param share part of a core that each process may use.
    explicit ProcessorQuota(double share);
    ~ProcessorQuota();
    ProcessorQuota(ProcessorQuota const&) = delete;
    auto operator=(ProcessorQuota const&) -> ProcessorQuota& = delete;

    auto add(pid_t) -> void;
    /// Gives a process another part of a core than the others; add() gives it the usual one again.
    auto set_share(pid_t, double share) -> void;
    /// From here on the process is not signalled, whatever became of it. Leaves it running.
    auto remove(pid_t) -> void;

private:
    struct Account {
        Duration used_at_start {}; ///< Processor time when the present period began.
        bool stopped = false;
        Duration allowed {}; ///< In one period.
    };

    auto run(std::stop_token const&) -> void;
    auto look(bool new_period) -> void;

    Duration const m_allowed; ///< In one period, where no other share was set.
    std::mutex m_mutex; ///< Guards the accounts, and that only those are signalled.
    std::map<pid_t, Account> m_accounts;
    std::jthread m_thread;
};

} // namespace graniteseam::testbed::soak
