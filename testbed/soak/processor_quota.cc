#include "testbed/soak/processor_quota.h"

#include <csignal>
#include <ctime>

#include "src/runtime/clock.h"

namespace graniteseam::testbed::soak {

namespace {

    /// As quotas of control groups have it.
    constexpr Duration period {100'000};
    constexpr std::chrono::milliseconds look_interval {2};

    /// Processor time that a process took so far; zero when it can't be told any more.
    auto used_by(pid_t process) -> Duration
    {
        clockid_t clock {};
        timespec used {};
        if (::clock_getcpuclockid(process, &clock) != 0 || ::clock_gettime(clock, &used) != 0)
            return {};
        return std::chrono::duration_cast<Duration>(
            std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
    }

    auto allowed_by(double share) -> Duration
    {
        return Duration {static_cast<std::int64_t>(share * static_cast<double>(period.count()))};
    }

} // namespace

ProcessorQuota::ProcessorQuota(double share)
    : m_allowed(allowed_by(share))
    , m_thread([this](std::stop_token const& stop) { run(stop); })
{
}

ProcessorQuota::~ProcessorQuota()
{
    m_thread.request_stop();
    m_thread.join();
    for (auto const& [process, account] : m_accounts) {
        if (account.stopped)
            ::kill(process, SIGCONT);
    }
}

auto ProcessorQuota::add(pid_t process) -> void
{
    std::lock_guard const lock(m_mutex);
    auto& account = m_accounts[process];
    if (account.stopped)
        ::kill(process, SIGCONT);
    account = {used_by(process), false, m_allowed};
}

auto ProcessorQuota::set_share(pid_t process, double share) -> void
{
    std::lock_guard const lock(m_mutex);
    if (auto const it = m_accounts.find(process); it != m_accounts.end())
        it->second.allowed = allowed_by(share);
}

auto ProcessorQuota::remove(pid_t process) -> void
{
    std::lock_guard const lock(m_mutex);
    auto const it = m_accounts.find(process);
    if (it == m_accounts.end())
        return;
    if (it->second.stopped)
        ::kill(process, SIGCONT);
    m_accounts.erase(it);
}

auto ProcessorQuota::run(std::stop_token const& stop) -> void
{
    auto period_end = runtime::BootTimeNow() + period;
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(look_interval);
        auto const now = runtime::BootTimeNow();
        look(now >= period_end);
        while (period_end <= now)
            period_end += period;
    }
}

auto ProcessorQuota::look(bool new_period) -> void
{
    std::lock_guard const lock(m_mutex);
    for (auto& [process, account] : m_accounts) {
        auto const used = used_by(process);
        if (new_period) {
            account.used_at_start = used;
            if (account.stopped)
                ::kill(process, SIGCONT);
            account.stopped = false;
        } else if (!account.stopped && used - account.used_at_start >= account.allowed) {
            account.stopped = true;
            ::kill(process, SIGSTOP);
        }
    }
}

} // namespace graniteseam::testbed::soak
