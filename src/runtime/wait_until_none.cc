#include "src/runtime/wait_until_none.h"

#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <thread>

#include "src/runtime/clock.h"

namespace graniteseam::runtime {

std::optional<std::size_t> WaitUntilNone(boost::asio::io_context& loop,
                                         const std::function<std::size_t()>& count,
                                         Instant earliest, Instant latest) {
  constexpr Duration kLook{20'000};
  std::optional<std::size_t> newest;
  for (Instant now = BootTimeNow(); now < latest; now = BootTimeNow()) {
    const auto promise = std::make_shared<std::promise<std::size_t>>();
    std::future<std::size_t> answer = promise->get_future();
    boost::asio::post(loop, [promise, count] { promise->set_value(count()); });
    if (answer.wait_for(latest - now) != std::future_status::ready) return newest;
    newest = answer.get();
    if (newest == 0 && BootTimeNow() >= earliest) break;
    std::this_thread::sleep_for(kLook);
  }
  return newest;
}

}  // namespace graniteseam::runtime
