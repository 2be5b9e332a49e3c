#include <criterion/criterion.h>

#include <cstdlib>

#include "tests/operator_cli/command_runner.h"

using graniteseam::test::ReadText;
using graniteseam::test::RunCommand;
using graniteseam::test::TemporaryFolder;

Test(help_text, stands_word_for_word_on_the_operators_page) {
  const std::string page = ReadText(GRANITESEAM_SOURCE_DIR "/docs/operations/graniteseamctl.md");
  const std::string help = RunCommand({"--help"}).out;
  cr_assert(!help.empty());
  cr_assert(page.find("```\n" + help + "```\n") != std::string::npos,
            "docs/operations/graniteseamctl.md differs from `graniteseamctl --help`:\n%s",
            help.c_str());
}

Test(completion, offers_the_words_of_the_commands) {
  const TemporaryFolder folder;
  const std::string script = folder.Write("completion", RunCommand({"completion", "bash"}).out);
  const auto complete = [&](const std::string& words, int position) {
    const std::string line = "bash -c 'set -eu; source " + script +
                             "; COMP_WORDS=(graniteseamctl " + words +
                             "); COMP_CWORD=" + std::to_string(position) +
                             "; _graniteseamctl; echo ${COMPREPLY[*]}' >" + folder.Path("words");
    cr_assert(std::system(line.c_str()) == 0);
    return ReadText(folder.Path("words"));
  };
  cr_assert(complete("bundle s", 2) == "submit sign status\n");
  cr_assert(complete("s", 1) == "shard server\n");
  cr_assert(complete("server \"\"", 2) == "drain undrain\n");
}
