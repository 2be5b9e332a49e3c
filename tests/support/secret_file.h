/// @file
/// A secret file for connections by pre-shared key.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace graniteseam::test {

/// A secret file that is removed with this object.
struct SecretFile {
  SecretFile(const std::string& name, const std::string& text)
      : path((std::filesystem::temp_directory_path() / (name + std::to_string(::getpid())))
                 .string()) {
    std::ofstream(path) << text;
  }
  ~SecretFile() { std::filesystem::remove(path); }
  SecretFile(const SecretFile&) = delete;
  SecretFile& operator=(const SecretFile&) = delete;
  std::string path;
};

}  // namespace graniteseam::test
