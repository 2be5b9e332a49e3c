/// @file
/// A message body for Boost.Beast's parsers that is held in segments.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>
#include <string_view>

#include "src/event_http/segmented_text.h"

namespace graniteseam::event_http {

/// Meets Beast's requirements on a Body that is read.
struct SegmentedBody {
  using value_type = SegmentedText;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {  // NOLINT(readability-identifier-naming): Beast looks for this name.
   public:
    template <bool kIsRequest, class Fields>
    explicit reader(boost::beast::http::header<kIsRequest, Fields>& /*header*/, value_type& body)
        : body_(body) {}

    /// The length that the message states is not reserved: it may be more than will come.
    void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t bytes = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer(*it);
        body_.Append({static_cast<const char*>(buffer.data()), buffer.size()});
        bytes += buffer.size();
      }
      return bytes;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace graniteseam::event_http
