/// @file
/// Helpers for lists of named configuration items, and the history of their changes.
#pragma once

#include <algorithm>
#include <boost/describe/class.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"

namespace graniteseam::traffic {

/// Name and last change of a configuration item.
struct ItemVersion {
  std::string name;
  std::uint64_t changed_at = 0;  ///< Log index of the change or removal.
};
BOOST_DESCRIBE_STRUCT(ItemVersion, (), (name, changed_at))

/// Replaces the item of the same name, or appends it.
template <class Item>
void PutItem(std::vector<Item>& items, const Item& item) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&](const Item& known) { return known.name == item.name; });
  if (found == items.end()) {
    items.push_back(item);
  } else {
    *found = item;
  }
}

/// Removes the items with these names; unknown names are ignored.
template <class Item, class Name>
void RemoveItems(std::vector<Item>& items, const std::vector<Name>& names) {
  std::erase_if(items, [&](const Item& item) {
    return std::find(names.begin(), names.end(), item.name) != names.end();
  });
}

/// Checks that each item has a unique, non-empty name.
/// @param what the kind of item, for error messages.
/// @return kInvalidArgument with the offending name.
template <class Item>
Result<void> CheckNames(const std::vector<Item>& items, const char* what) {
  std::set<std::string> names;
  for (const Item& item : items) {
    if (item.name.Empty()) {
      return Fail(ErrorKind::kInvalidArgument, std::string("A ") + what + " has no name.",
                  "Give each item a name.");
    }
    if (!names.insert(item.name.value).second) {
      return Fail(ErrorKind::kInvalidArgument,
                  std::string("The ") + what + " " + item.name.value + " is listed twice.",
                  "List each item once.");
    }
  }
  return {};
}

/// Records when the items of one kind were changed or removed, to send only the changes to routers.
/// Items are sent with an empty `source`.
class ItemHistory {
 public:
  ItemHistory() = default;
  ItemHistory(const std::vector<ItemVersion>& changed, const std::vector<ItemVersion>& removed)
      : changed_at_(ToMap(changed)), removed_at_(ToMap(removed)) {}

  /// Records the differences between two lists of items as changes at `log_index`.
  template <class Item>
  void NoteChanges(const std::vector<Item>& before, const std::vector<Item>& after,
                   std::uint64_t log_index) {
    std::map<std::string, const Item*> old_items;
    for (const Item& item : before) old_items[item.name.value] = &item;
    for (const Item& item : after) {
      const auto old_item = old_items.find(item.name.value);
      const bool same = old_item != old_items.end() && *old_item->second == item;
      if (old_item != old_items.end()) old_items.erase(old_item);
      if (same) continue;
      changed_at_[item.name.value] = log_index;
      removed_at_.erase(item.name.value);
    }
    for (const auto& [name, item] : old_items) {
      changed_at_.erase(name);
      removed_at_[name] = log_index;
    }
  }

  /// Appends the items that changed after `base`, without their sources.
  template <class Item>
  void AddChanged(const std::vector<Item>& items, std::uint64_t base,
                  std::vector<Item>& added) const {
    for (const Item& item : items) {
      if (changed_at_.at(item.name.value) <= base) continue;
      added.push_back(item);
      added.back().source.clear();
    }
  }

  /// Appends the names that were removed after `base`; none when `base` is 0.
  template <class Name>
  void AddRemoved(std::uint64_t base, std::vector<Name>& added) const {
    if (base == 0) return;
    for (const auto& [name, at] : removed_at_) {
      if (at > base) added.push_back(Name{name});
    }
  }

  std::vector<ItemVersion> Changed() const { return ToList(changed_at_); }
  std::vector<ItemVersion> Removed() const { return ToList(removed_at_); }

 private:
  using Versions = std::map<std::string, std::uint64_t>;

  static std::vector<ItemVersion> ToList(const Versions& versions) {
    std::vector<ItemVersion> list;
    list.reserve(versions.size());
    for (const auto& [name, at] : versions) list.push_back({name, at});
    return list;
  }
  static Versions ToMap(const std::vector<ItemVersion>& list) {
    Versions versions;
    for (const ItemVersion& item : list) versions[item.name] = item.changed_at;
    return versions;
  }

  Versions changed_at_;
  Versions removed_at_;
};

}  // namespace graniteseam::traffic
