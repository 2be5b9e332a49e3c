/// @file
/// Values by key, kept for whole spans of keys.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace graniteseam::simulation {

/// Keys from `first` to `last`, both inside. The simulator's own, so that its judge takes no type from
/// what it judges.
struct Keys {
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    auto overlaps(Keys const& other) const -> bool { return first <= other.last && other.first <= last; }
    auto operator==(Keys const&) const -> bool = default;
};

/// Invariant: parts do not overlap. Keys without a value are in no part. Not thread safe.
template<class Value>
class SpanMap {
public:
    struct Part {
        Keys keys;
        Value value;
    };

    /// Gives each key of a span this value.
    auto assign(Keys const& keys, Value value) -> void
    {
        erase(keys);
        m_parts.emplace(keys.first, Part {keys, std::move(value)});
    }

    auto erase(Keys const& keys) -> void
    {
        split(keys.first);
        if (keys.last != UINT32_MAX)
            split(keys.last + 1);
        m_parts.erase(m_parts.lower_bound(keys.first), m_parts.upper_bound(keys.last));
    }

    /// @return the parts within a span, cut to it.
    auto within(Keys const& keys) const -> std::vector<Part>
    {
        std::vector<Part> found;
        for (auto const& [first, part] : m_parts) {
            if (first > keys.last)
                break;
            if (!part.keys.overlaps(keys))
                continue;
            found.push_back(part);
            found.back().keys = {std::max(part.keys.first, keys.first), std::min(part.keys.last, keys.last)};
        }
        return found;
    }

    /// @return spans of `keys` that have no value.
    auto gaps(Keys const& keys) const -> std::vector<Keys>
    {
        std::vector<Keys> gaps;
        auto at = keys.first;
        for (auto const& part : within(keys)) {
            if (at < part.keys.first)
                gaps.push_back({at, part.keys.first - 1});
            at = part.keys.last + 1;
        }
        if (at <= keys.last)
            gaps.push_back({at, keys.last});
        return gaps;
    }

    /// @return null where the key has no value.
    auto find(std::uint32_t key) const -> Value const*
    {
        auto const after = m_parts.upper_bound(key);
        if (after == m_parts.begin())
            return nullptr;
        auto const& part = std::prev(after)->second;
        return part.keys.last >= key ? &part.value : nullptr;
    }

    auto all() const -> std::vector<Part>
    {
        std::vector<Part> all;
        for (auto const& [first, part] : m_parts)
            all.push_back(part);
        return all;
    }

    auto empty() const -> bool { return m_parts.empty(); }
    auto clear() -> void { m_parts.clear(); }

private:
    /// Makes `at` the first key of a part, if it is within one.
    auto split(std::uint32_t at) -> void
    {
        auto const after = m_parts.upper_bound(at);
        if (after == m_parts.begin())
            return;
        auto& before = std::prev(after)->second;
        if (before.keys.first == at || before.keys.last < at)
            return;
        auto rest = before;
        rest.keys.first = at;
        before.keys.last = at - 1;
        m_parts.emplace(at, std::move(rest));
    }

    std::map<std::uint32_t, Part> m_parts;
};

} // namespace graniteseam::simulation
