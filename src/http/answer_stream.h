/// @file
/// What cpp-httplib's client reads of a server, with the heads of answers checked before it.
#pragma once

#include <httplib.h>

#include <cstddef>
#include <string>

#include "src/http/bounded_stream.h"

namespace graniteseam::http {

/// Reads the heads of answers itself: drops interim ones, and ends the reading at a status that is
/// none and at a head that is too long. The final head goes on without its reason phrase.
///
/// The library takes any three digits for a status and each status but 100 for a final one, and
/// matches the status line by recursion as deep as the line is long (cpp-httplib 0.11).
///
/// Not thread safe.
class AnswerStream : public httplib::Stream {
 public:
  /// @param stream outlives this.
  AnswerStream(BoundedStream& stream, std::size_t head_bytes_maximum)
      : stream_(stream), head_bytes_maximum_(head_bytes_maximum) {}

  /// Begins with the answer to the next request.
  void Begin();

  bool is_readable() const override { return given_ < head_.size() || stream_.is_readable(); }
  bool is_writable() const override { return stream_.is_writable(); }
  ssize_t read(char* target, size_t size) override;
  ssize_t write(const char* data, size_t size) override { return stream_.write(data, size); }
  void get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const override {}
  void get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const override {}
  socket_t socket() const override { return stream_.socket(); }

 private:
  enum class State { kBegun, kHeadRead, kFailed };

  State ReadFinalHead();
  bool ReadHead();

  BoundedStream& stream_;
  const std::size_t head_bytes_maximum_;
  State state_ = State::kBegun;
  std::string head_;
  std::size_t given_ = 0;  ///< Bytes of the head that were read from here.
};

}  // namespace graniteseam::http
