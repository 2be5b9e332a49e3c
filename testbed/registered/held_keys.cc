#include "testbed/registered/held_keys.h"

#include <algorithm>

namespace graniteseam::testbed {

namespace {

auto SeenFence(HeldKeys const& keys, HeldSpan const& span) -> std::uint64_t {
  std::uint64_t highest = 0;
  for (auto const& seen : keys.seen) {
    if (Overlap(seen, span)) highest = std::max(highest, seen.fence);
  }
  return highest;
}

auto Note(HeldKeys& keys, HeldSpan const& span) -> void {
  auto const known = std::any_of(keys.seen.begin(), keys.seen.end(), [&](auto const& it) {
    return it.first <= span.first && span.last <= it.last && it.fence >= span.fence;
  });
  if (!known) keys.seen.push_back(span);
}

auto Bury(HeldKeys& keys, HeldSpan span, Instant now) -> void {
  span.until = std::min(span.until, now);
  if (span.since < span.until) keys.past.push_back(span);
}

/// Cuts the span's keys out of what is held.
/// @return the parts cut out, as they were held.
auto CutOut(HeldKeys& keys, HeldSpan const& span, Instant now) -> std::vector<HeldSpan> {
  std::vector<HeldSpan> left;
  std::vector<HeldSpan> cut;
  for (auto const& held : keys.held) {
    if (!Overlap(held, span)) {
      left.push_back(held);
      continue;
    }
    auto part = held;
    part.first = std::max(held.first, span.first);
    part.last = std::min(held.last, span.last);
    if (held.first < part.first) {
      left.push_back(held);
      left.back().last = part.first - 1;
    }
    if (held.last > part.last) {
      left.push_back(held);
      left.back().first = part.last + 1;
    }
    Bury(keys, part, now);
    cut.push_back(part);
  }
  keys.held = std::move(left);
  return cut;
}

}  // namespace

auto Overlap(HeldSpan const& a, HeldSpan const& b) -> bool {
  return a.first <= b.last && b.first <= a.last;
}

auto Take(HeldKeys& keys, HeldSpan const& span) -> bool {
  if (SeenFence(keys, span) > span.fence) return false;
  CutOut(keys, span, span.since);
  keys.held.push_back(span);
  Note(keys, span);
  return true;
}

auto LetGo(HeldKeys& keys, HeldSpan const& span, Instant now) -> std::vector<HeldSpan> {
  auto parts = CutOut(keys, span, now);
  std::erase_if(parts, [&](auto const& it) { return it.until <= now; });
  Note(keys, span);
  return parts;
}

auto TakeWhole(HeldKeys& keys, std::vector<HeldSpan> const& rows, Instant now)
    -> std::vector<HeldSpan> {
  std::vector<HeldSpan> accepted;
  std::copy_if(rows.begin(), rows.end(), std::back_inserter(accepted),
               [&](auto const& row) { return SeenFence(keys, row) <= row.fence; });
  std::sort(accepted.begin(), accepted.end(),
            [](auto const& a, auto const& b) { return a.first < b.first; });
  std::vector<HeldSpan> left_out;
  for (auto const& held : std::vector<HeldSpan>(keys.held)) {
    // What lies between the rows.
    std::uint64_t next = held.first;
    auto const leave = [&](std::uint64_t end) {
      if (next >= end) return;
      auto part = held;
      part.first = static_cast<std::uint32_t>(next);
      part.last = static_cast<std::uint32_t>(end - 1);
      auto const cut = CutOut(keys, part, now);
      left_out.insert(left_out.end(), cut.begin(), cut.end());
    };
    for (auto const& row : accepted) {
      if (!Overlap(row, held)) continue;
      leave(row.first);
      next = std::max<std::uint64_t>(next, std::uint64_t{row.last} + 1);
    }
    leave(std::uint64_t{held.last} + 1);
  }
  std::erase_if(left_out, [&](auto const& it) { return it.until <= now; });
  for (auto const& row : accepted) Take(keys, row);
  return left_out;
}

auto HolderOf(HeldKeys const& keys, std::uint32_t key, Instant now) -> HeldSpan const* {
  for (auto const& held : keys.held) {
    if (held.first <= key && key <= held.last && now < held.until) return &held;
  }
  return nullptr;
}

auto DropExpired(HeldKeys& keys, Instant now) -> void {
  for (auto const& held : keys.held) {
    if (held.until <= now) Bury(keys, held, now);
  }
  std::erase_if(keys.held, [&](auto const& it) { return it.until <= now; });
}

auto AllHolds(HeldKeys const& keys, Instant now) -> std::vector<HeldSpan> {
  auto whole = keys;
  for (auto const& held : keys.held) Bury(whole, held, now);
  return whole.past;
}

}  // namespace graniteseam::testbed
