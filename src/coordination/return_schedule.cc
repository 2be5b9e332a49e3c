#include "src/coordination/return_schedule.h"

#include <algorithm>
#include <cmath>

namespace graniteseam::coordination {
namespace {

    /// Slower servers are counted as this fast, which bounds the time that the schedule looks ahead and back.
    constexpr double per_step_minimum = 0.01;

    auto step_of(Instant at) -> std::int64_t
    {
        return at.time_since_epoch() / ReturnSchedule::step;
    }

    auto start_of(std::int64_t step) -> Instant
    {
        return Instant {step * ReturnSchedule::step};
    }

} // namespace

auto ReturnSchedule::book(Instant earliest, Instant latest, double per_step, Instant now) -> Instant
{
    earliest = std::max(earliest, now);
    auto const places = static_cast<std::uint32_t>(std::max(1.0, std::floor(per_step)));
    // A server that starts less than one request in a step has a place in only one of so many steps.
    auto const stride
        = per_step >= 1 ? 1 : static_cast<std::int64_t>(std::ceil(1 / std::max(per_step_minimum, per_step)));
    m_booked.erase(m_booked.begin(), m_booked.lower_bound(step_of(now) - stride + 1));
    for (auto at = step_of(earliest); start_of(at) < latest; ++at) {
        if (stride > 1) {
            auto const near = m_booked.lower_bound(at - stride + 1);
            if (near != m_booked.end() && near->first < at + stride) {
                at = near->first + stride - 1;
                continue;
            }
        }
        auto& booked = m_booked[at];
        if (booked >= places)
            continue;
        // Returns within a step are spread over it.
        auto const offset = step * booked / places;
        ++booked;
        return std::clamp(start_of(at) + offset, earliest, std::max(earliest, latest));
    }
    return std::max(earliest, latest);
}

} // namespace graniteseam::coordination
