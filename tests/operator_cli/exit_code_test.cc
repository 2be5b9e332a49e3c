#include <criterion/criterion.h>

#include <map>

#include "tests/operator_cli/command_runner.h"
#include "tests/operator_cli/scripted_control.h"

using graniteseam::ErrorKind;
using graniteseam::ErrorKindName;
using graniteseam::test::CommandResult;
using graniteseam::test::RunCommand;
using graniteseam::test::ScriptedControl;

namespace {

/// The documented table, written out a second time on purpose.
const std::map<ErrorKind, int> kExpected = {
    {ErrorKind::kInvalidArgument, 2},  {ErrorKind::kInvalidSettings, 2},
    {ErrorKind::kInvalidBundle, 3},    {ErrorKind::kMalformedMessage, 1},
    {ErrorKind::kTooLarge, 10},        {ErrorKind::kUnauthenticated, 6},
    {ErrorKind::kPermissionDenied, 6}, {ErrorKind::kNotFound, 7},
    {ErrorKind::kVersionConflict, 4},  {ErrorKind::kFailedPrecondition, 5},
    {ErrorKind::kNotLeader, 8},        {ErrorKind::kUnavailable, 8},
    {ErrorKind::kOverloaded, 8},       {ErrorKind::kDeadlineExceeded, 8},
    {ErrorKind::kNotOwner, 1},         {ErrorKind::kOutcomeUnknown, 9},
    {ErrorKind::kStorageFull, 11},     {ErrorKind::kStorageCorrupt, 11},
    {ErrorKind::kStorageIo, 11},       {ErrorKind::kIncompatibleFormat, 11},
    {ErrorKind::kTransport, 8},        {ErrorKind::kInternal, 1}};

}  // namespace

Test(exit_code, follows_the_documented_table_for_each_kind_of_refusal) {
  for (int kind = 0; kind <= static_cast<int>(ErrorKind::kInternal); ++kind) {
    const auto error_kind = static_cast<ErrorKind>(kind);
    ScriptedControl control([&](const auto&, auto& response, std::size_t) {
      ScriptedControl::Refuse(response, error_kind);
    });
    const CommandResult result = RunCommand(
        {"server", "drain", "s", "--control", control.address(), "--time-limit-ms", "1000"});
    cr_assert(result.exit_code == kExpected.at(error_kind), "%s gave %d: %s",
              std::string(ErrorKindName(error_kind)).c_str(), result.exit_code,
              result.errors.c_str());
    cr_assert(result.out.empty());
    cr_assert(result.errors.find("Remedy: ") != std::string::npos, "%s", result.errors.c_str());
  }
}

Test(exit_code, is_2_for_wrong_use_and_names_what_would_fit) {
  const std::pair<std::vector<std::string>, const char*> uses[] = {
      {{}, "bundle, fleet, shard, server, zone, control, request, log, key, completion"},
      {{"bundle", "rol", "1"}, "bundle roll"},
      {{"bundle", "roll"}, "bundle roll FILE|VERSION"},
      {{"bundle", "check", "/nowhere/bundle.toml"}, "can't be read"},
      {{"bundle", "check", "/"}, "can't be read"},
      {{"bundle", "status"}, "--control"},
      {{"bundle", "status", "--control", "localhost"}, "control"},
      {{"bundle", "status", "--colour"}, "--colour"},
      {{"bundle", "sign", "3", "--reviewer", "a", "--key-file", "/dev/null"}, "digest"},
      {{"bundle", "sign", "3"}, "--reviewer"},
      {{"shard", "move", "s", "x1", "t", "--control", "127.0.0.1:1"}, "whole number"},
      {{"key", "generate"}, "--key-file"}};
  for (const auto& [arguments, expected] : uses) {
    const CommandResult result = RunCommand(arguments);
    cr_assert(result.exit_code == 2, "%d: %s", result.exit_code, result.errors.c_str());
    cr_assert(result.errors.find(expected) != std::string::npos, "\"%s\" is not in: %s", expected,
              result.errors.c_str());
  }
}

Test(exit_code, is_3_with_all_faults_of_a_bundle) {
  const graniteseam::test::TemporaryFolder folder;
  const std::string path = folder.Write("bundle.toml", "version = 0\nauthor = 7\n");
  const CommandResult result = RunCommand({"bundle", "check", path});
  cr_assert(result.exit_code == 3);
  cr_assert(result.errors.find(path + ":1: version:") != std::string::npos);
  cr_assert(result.errors.find(path + ":2: author:") != std::string::npos);
}

Test(exit_code, is_listed_in_the_help_text) {
  const std::string help = RunCommand({"--help"}).out;
  for (int code = 0; code <= 11; ++code) {
    const std::string line = (code < 10 ? "\n   " : "\n  ") + std::to_string(code) + "  ";
    cr_assert(help.find(line) != std::string::npos, "%d", code);
  }
}
