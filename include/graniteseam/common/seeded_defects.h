/// @file
/// Deliberate defects that verify that the simulator detects such faults. They are compiled only
/// with GRANITESEAM_SEEDED_DEFECTS; without it DefectOn() is the constant false.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace graniteseam {

/// A safety-relevant step that is omitted or done incorrectly.
enum class Defect {
  kNone,
  kNoWaitAfterElection,
  kGrantNotBoundToReading,
  kClaimAfterSend,
  kLeaderWithoutLease,
  kOldBundleAccepted,
  kRenewalOfWrongSet,
  kCommitWithoutCheck,
  kNotRunAfterTimeout,
};

/// A defect with its name on the command line and its description.
struct SeededDefect {
  Defect defect;
  const char* name;
  const char* description;
};

/// All defects, for listing and selection by name.
constexpr std::array<SeededDefect, 8> SeededDefects() {
  return {{
      {Defect::kNoWaitAfterElection, "no-wait-after-election",
       "a new leader treats the leases granted by an earlier leader as expired"},
      {Defect::kGrantNotBoundToReading, "grant-not-bound-to-reading",
       "a server starts its lease at the receipt of the grant"},
      {Defect::kClaimAfterSend, "claim-after-send",
       "a request that may not be repeated is sent before its claim is committed"},
      {Defect::kLeaderWithoutLease, "leader-without-lease",
       "a partitioned leader continues after its leader lease has expired"},
      {Defect::kOldBundleAccepted, "old-bundle-accepted",
       "a router that reports an old bundle is granted its lease"},
      {Defect::kRenewalOfWrongSet, "renewal-of-wrong-set",
       "a server extends its lease although it holds a different set of shards"},
      {Defect::kCommitWithoutCheck, "commit-without-check",
       "a server makes an effect durable without rechecking its lease"},
      {Defect::kNotRunAfterTimeout, "not-run-after-timeout",
       "an attempt without a response counts as not run"},
  }};
}

#ifdef GRANITESEAM_SEEDED_DEFECTS
inline constexpr bool kSeededDefectsCompiled = true;

namespace internal {
/// Set once before any state machine runs; read by all threads.
inline Defect defect_on = Defect::kNone;
}  // namespace internal

inline bool DefectOn(Defect defect) { return internal::defect_on == defect; }

/// Enables one defect for the whole process.
/// @return false when no defect has this name.
inline bool EnableDefect(std::string_view name) {
  for (const auto& seeded : SeededDefects()) {
    if (name != seeded.name) continue;
    internal::defect_on = seeded.defect;
    return true;
  }
  return false;
}
#else
inline constexpr bool kSeededDefectsCompiled = false;
constexpr bool DefectOn(Defect /*defect*/) { return false; }
inline bool EnableDefect(std::string_view /*name*/) { return false; }
#endif

}  // namespace graniteseam
