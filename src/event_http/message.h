/// @file
/// HTTP/1.1 messages as values: what the event-driven server and clients exchange with the rest.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/time.h"

namespace graniteseam::event_http {

class ByteCharge;

struct HeaderField {
  std::string name;
  std::string value;
};

/// Header fields in the order in which they came; names compare without case.
class HeaderFields {
 public:
  void Add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string(name), std::string(value)});
  }
  /// Replaces all fields of the name by one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
  /// Removes also what differs from the name by underscores in place of hyphens: some servers take
  /// both for the same.
  void RemoveAlike(std::string_view name);
  std::size_t Count(std::string_view name) const;
  /// The first field of the name; null when there is none.
  const std::string* Find(std::string_view name) const;
  const std::vector<HeaderField>& all() const { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

struct Request {
  std::string method;
  std::string target;  ///< As sent: path and query.
  HeaderFields fields;
  std::string body;

  /// The target without its query.
  std::string_view Path() const;
};

struct Response {
  int status = 200;
  std::string reason;  ///< Empty: the standard one.
  HeaderFields fields;
  std::string body;
  /// Without a body although its fields speak of one: the answer to a HEAD request.
  bool head_only = false;
  /// A large response whose caller waits for the whole of it: it may be written more slowly than
  /// others.
  bool bulk = false;
  /// Until then the client may pause for longer than ServerOptions::write_timeout.
  Instant deliver_by{};
  /// Accounts for the body as long as the response exists; null: nothing does.
  std::shared_ptr<const ByteCharge> charge{};
};

/// Whether two names are equal without regard to case.
bool SameName(std::string_view a, std::string_view b);

/// Removes the fields that concern one connection only (RFC 9110, section 7.6.1), also those that
/// `Connection` names, and the framing, which is written anew.
void RemoveConnectionFields(HeaderFields& fields);

/// Whether the response is sent with its body (RFC 9110, section 6.4.1).
bool HasBody(const Response& response);

/// What stands before the body of a request, which is framed by its length.
/// @param fields without those of RemoveConnectionFields().
std::string SerializeHead(std::string_view method, std::string_view target,
                          const HeaderFields& fields, std::size_t body_bytes);
/// @param close says that the connection ends with this answer.
std::string SerializeHead(const Response& response, bool close);
/// The bytes of a whole message.
std::string Serialize(const Request& request);
std::string Serialize(const Response& response, bool close);

}  // namespace graniteseam::event_http
