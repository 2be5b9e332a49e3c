#include "testbed/fleet/socket_owners.h"

#include <arpa/inet.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace graniteseam::testbed {

namespace {

/// "0100007F:1F90", as /proc/net/tcp writes 127.0.0.1:8080: the address in the machine's own order.
std::string TableText(const runtime::SocketAddress& address) {
  in_addr ip{};
  ::inet_pton(AF_INET, address.ip.c_str(), &ip);
  char text[16] = {};
  std::snprintf(text, sizeof(text), "%08X:%04X", ip.s_addr, address.port);
  return text;
}

/// The link that /proc/<process>/fd holds for the socket, for example "socket:[4711]"; "" when the
/// table has no such connection.
std::string SocketLink(const ConnectionEnds& ends) {
  const std::string local = TableText(ends.client);
  const std::string remote = TableText(ends.relay);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);  // The heading.
  while (std::getline(table, line)) {
    std::istringstream words(line);
    std::string slot, from, to, state, queues, timer, retransmits, user, timeout, inode;
    words >> slot >> from >> to >> state >> queues >> timer >> retransmits >> user >> timeout >>
        inode;
    if (from == local && to == remote) return "socket:[" + inode + "]";
  }
  return "";
}

bool Holds(pid_t process, const std::string& link) {
  std::error_code error;
  const std::filesystem::path folder = "/proc/" + std::to_string(process) + "/fd";
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    std::error_code gone;
    if (std::filesystem::read_symlink(entry.path(), gone) == link) return true;
  }
  return false;
}

}  // namespace

void SocketOwners::Add(pid_t process, const std::string& ip) {
  const std::lock_guard lock(mutex_);
  ips_[process] = ip;
}

std::string SocketOwners::IpOf(const ConnectionEnds& ends) const {
  const std::string link = SocketLink(ends);
  if (link.empty()) return "";
  const std::lock_guard lock(mutex_);
  for (const auto& [process, ip] : ips_) {
    if (Holds(process, link)) return ip;
  }
  return "";
}

}  // namespace graniteseam::testbed
