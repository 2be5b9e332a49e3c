/// @file
/// Replays a corpus with the ordinary compiler: each file, each of its beginnings at some lengths,
/// and each with one byte changed here and there.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
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

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "Usage: %s CORPUS_FOLDER\n", argv[0]);
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
