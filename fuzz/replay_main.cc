/// @file
/// Replays a corpus with the ordinary compiler: each file, each of its beginnings at some lengths,
/// and each with one byte changed here and there. With `--seeds FIRST:LAST` it runs inputs of
/// random bytes instead, one a seed.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "fuzz/fuzz_target.h"

namespace {

constexpr std::size_t kVariants = 64;

void Run(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}

void RunVariants(const std::string& input) {
  Run(input);
  for (std::size_t number = 0; number < kVariants && !input.empty(); ++number) {
    const std::size_t place = number * input.size() / kVariants;
    Run(input.substr(0, place));
    std::string changed = input;
    changed[place] = static_cast<char>(changed[place] ^ static_cast<char>(1U << (number % 8)));
    Run(changed);
  }
}

std::string RandomInput(unsigned long seed) {
  constexpr std::size_t kLongest = 2'048;
  std::mt19937_64 random(seed);
  std::string input(1 + random() % kLongest, '\0');
  for (char& byte : input) byte = static_cast<char>(random());
  return input;
}

/// @param text "FIRST:LAST".
int RunSeeds(const char* text) {
  unsigned long first = 0;
  unsigned long last = 0;
  if (std::sscanf(text, "%lu:%lu", &first, &last) != 2 || first > last) return 2;
  for (unsigned long seed = first; seed <= last; ++seed) {
    // Before the run, so that the last line names the seed that ended it.
    std::printf("seed %lu\n", seed);
    std::fflush(stdout);
    Run(RandomInput(seed));
  }
  std::printf("%lu seeds passed.\n", last - first + 1);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 3 && std::string_view(argv[1]) == "--seeds") return RunSeeds(argv[2]);
  if (argc != 2) {
    std::fprintf(stderr, "Usage: %s CORPUS_FOLDER | --seeds FIRST:LAST\n", argv[0]);
    return 2;
  }
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  for (const auto& path : files) {
    std::ifstream stream(path, std::ios::binary);
    RunVariants(std::string(std::istreambuf_iterator<char>(stream), {}));
  }
  std::printf("%zu inputs replayed.\n", files.size());
  return files.empty() ? 1 : 0;
}
