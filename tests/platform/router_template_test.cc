#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "platform/machine_fields.h"
#include "testbed/registered/template.h"
#include "testbed/support/text_file.h"

using namespace graniteseam;
using namespace graniteseam::testbed;

namespace {

std::string FilledFor(const nlohmann::json& fields) {
  const auto source =
      Attempt([] { return ReadTextFile(GRANITESEAM_SOURCE_DIR "/platform/router.toml.template"); });
  cr_assert(ErrorOf(source) == nullptr);
  return FillTemplate(std::get<std::string>(source), fields.dump());
}

}  // namespace

// The line was written without a value where the platform states no link rate: the settings file
// did not parse, and no router started.
Test(router_template, link_rate_is_left_out_where_the_platform_states_none) {
  auto fields = nlohmann::json::parse(platform::FieldsOf({}));
  cr_assert(FilledFor(fields).find("\nlink_mbps = 100.0\n") != std::string::npos);
  fields["limits"].erase("linkMbps");
  cr_assert(FilledFor(fields).find("link_mbps") == std::string::npos);
}

Test(router_template, memory_is_left_out_where_the_platform_states_none) {
  auto fields = nlohmann::json::parse(platform::FieldsOf({}));
  cr_assert(FilledFor(fields).find("\nmemory_mb = 256\n") != std::string::npos);
  fields["limits"].erase("memoryMb");
  cr_assert(FilledFor(fields).find("memory_mb") == std::string::npos);
}
