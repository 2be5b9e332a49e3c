#include "src/runtime/log.h"

#include <criterion/criterion.h>
#include <criterion/redirect.h>

#include <cstdio>
#include <string>

namespace runtime = graniteseam::runtime;

namespace {

std::string StandardError() {
  std::fflush(stderr);
  std::string text;
  FILE* const stream = cr_get_redirected_stderr();
  for (int character = std::fgetc(stream); character != EOF; character = std::fgetc(stream)) {
    text += static_cast<char>(character);
    if (character == '\n') break;
  }
  return text;
}

void RedirectError() { cr_redirect_stderr(); }

}  // namespace

Test(log, writes_plain_lines_with_the_prefix_of_the_part, .init = RedirectError) {
  const runtime::Logger log("router.upstream");
  log.Debug("Not shown.");
  log.Warning("Server {} shed a request\nforged line.", "s1");
  const std::string line = StandardError();
  cr_assert(line.ends_with(" warning router.upstream: Server s1 shed a request\\nforged line.\n"),
            "%s", line.c_str());
}

Test(log, writes_json_lines, .init = RedirectError) {
  const runtime::Logger log("control");
  runtime::ConfigureLogs(runtime::LogFormat::kJson, runtime::LogLevel::kDebug);
  log.Debug("Said \"{}\".", 1);
  const std::string line = StandardError();
  cr_assert(line.starts_with("{\"time\":\""), "%s", line.c_str());
  cr_assert(
      line.ends_with("\"level\":\"debug\",\"part\":\"control\",\"message\":\"Said \\\"1\\\".\"}\n"),
      "%s", line.c_str());
}
