#include "graniteseam/bundle/bundle.h"

#include <algorithm>

namespace graniteseam::bundle {

const Service* Bundle::FindService(const ServiceName& wanted) const {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const Service& service) { return service.name == wanted; });
  return found == services.end() ? nullptr : &*found;
}

const Group* Bundle::FindGroup(const GroupName& wanted) const {
  const auto found = std::find_if(groups.begin(), groups.end(),
                                  [&](const Group& group) { return group.name == wanted; });
  return found == groups.end() ? nullptr : &*found;
}

}  // namespace graniteseam::bundle
