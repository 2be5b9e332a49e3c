/// @file
/// The judge of a run: an account of what happened, in true time and in plain values. It shares no
/// code with the product and takes nothing from it on trust.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace graniteseam::simulation {

/// What a caller was told.
enum class Told { kAnswer, kKept, kNotRun, kUnknown };

/// One shard held by one server.
struct HeldShard {
  std::string service;
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
};

/// Checks each fact against all earlier ones when it is told, and keeps what it finds.
/// Times are true time in microseconds. Not thread safe.
class Oracle {
 public:
  /// A server may start requests for these shards until `until`, unless told otherwise before.
  void OnOwnership(const std::string& server, const std::vector<HeldShard>& held,
                   std::int64_t until, std::int64_t now);
  /// An effect of a request became durable.
  void OnEffect(const std::string& server, const HeldShard& shard, std::int64_t now);
  /// A request with an operation id ran.
  void OnOperationRun(const std::string& operation, std::uint64_t submission, std::int64_t now);
  /// A caller sent a request; `operation` is empty when it may be repeated.
  void OnSubmission(std::uint64_t submission, const std::string& operation);
  /// A caller got an answer. @param content what the server's answer says whom it is for.
  void OnTold(std::uint64_t submission, Told told, const std::string& content, std::int64_t now);

  /// An operator was told that this version with this digest is accepted; `rolled`: in force.
  void OnBundleAccepted(std::uint64_t version, const std::string& digest, bool rolled,
                        std::int64_t now);
  /// A place takes traffic under a version.
  void OnTraffic(const std::string& place, std::uint64_t version, std::int64_t now);
  /// A leader says which version is in force.
  void OnLeaderView(std::uint64_t version, std::int64_t now);
  /// An operator was told that a drain, or its end, is accepted.
  void OnDrainAccepted(const std::string& server, bool draining, std::int64_t now);
  /// A router hands a request for a server to the network.
  void OnWorkSent(const std::string& server, std::int64_t now);

  void Violate(std::int64_t now, const std::string& what);
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t highest_rolled() const { return rolled_.empty() ? 0 : rolled_.rbegin()->first; }
  std::uint64_t operation_runs() const { return operation_runs_; }
  std::uint64_t checks() const { return checks_; }

 private:
  struct Holding {
    std::string server;
    std::uint64_t epoch = 0;
    std::int64_t until = 0;
  };
  struct Submission {
    std::string operation;
    bool ended = false;
    Told told = Told::kUnknown;
  };
  using ShardKey = std::pair<std::string, std::uint32_t>;

  std::map<ShardKey, std::vector<Holding>> holdings_;
  std::map<ShardKey, std::pair<std::uint64_t, std::string>> newest_effect_;
  std::map<std::string, std::uint32_t> runs_;
  std::map<std::string, std::uint64_t> first_run_by_;  ///< The submission that ran, by operation.
  std::map<std::uint64_t, Submission> submissions_;
  std::map<std::uint64_t, std::string> accepted_digests_;
  std::map<std::uint64_t, std::int64_t> rolled_;  ///< Version -> when it was accepted as rolled.
  std::map<std::string, std::uint64_t> version_at_place_;
  std::map<std::string, std::int64_t> draining_since_;
  std::vector<std::string> violations_;
  std::uint64_t operation_runs_ = 0;
  std::uint64_t checks_ = 0;
};

}  // namespace graniteseam::simulation
