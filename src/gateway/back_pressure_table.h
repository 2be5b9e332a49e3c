/// @file
/// What servers state of the requests that they take, as a gateway knows it from their answers.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

/// A belief that began, changed or ended, for the log.
struct BackPressureChange {
  std::string_view what;  ///< For example "limit_named".
  std::string inputs;
};

/// Each word holds for one life of an instance, from the answer that brought it: a limit until a
/// request that ran there is answered without one, a rest for its time, a leaving for good. Not
/// thread safe; `now` never goes back.
class BackPressureTable {
 public:
  /// Takes what an answer stated.
  /// @param ran whether the request ran. A server that turns one away may be too busy to name a
  /// limit, so that only the silence of other answers ends it.
  auto take(traffic::InstanceId const& instance, BackPressure const& pressure, bool ran,
            Instant now) -> std::vector<BackPressureChange>;
  auto forget(traffic::InstanceId const& instance) -> void { m_words.erase(instance); }

  /// Instances that name a limit at present.
  auto limited() const -> std::size_t;

 private:
  struct Word {
    double limit_per_second = 0;  ///< 0 for none.
    Instant rests_until{};
    bool leaving = false;
  };

  static auto take_limit(Word& word, BackPressure const& pressure, bool ran,
                         std::vector<BackPressureChange>& changes) -> void;
  static auto take_rest(Word& word, Duration rest, Instant now,
                        std::vector<BackPressureChange>& changes) -> void;

  std::map<traffic::InstanceId, Word> m_words;
};

}  // namespace graniteseam::gateway
