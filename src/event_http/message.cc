#include "src/event_http/message.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <ostream>  // Boost 1.81 prints its string views without it.

namespace graniteseam::event_http {
namespace {

constexpr std::string_view kConnectionFields[] = {"Connection",
                                                  "Keep-Alive",
                                                  "Proxy-Connection",
                                                  "Proxy-Authenticate",
                                                  "Proxy-Authorization",
                                                  "TE",
                                                  "Trailer",
                                                  "Transfer-Encoding",
                                                  "Upgrade",
                                                  "Content-Length"};

void AppendFields(const HeaderFields& fields, std::string& text) {
  for (const HeaderField& field : fields.all()) {
    text.append(field.name).append(": ").append(field.value).append("\r\n");
  }
}

void AppendLength(std::size_t length, std::string& text) {
  text.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
}

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

/// Of most heads.
constexpr std::size_t kHeadBytes = 512;

/// Statuses whose answers never have a body (RFC 9110, section 6.4.1).
bool NeverHasBody(int status) { return status / 100 == 1 || status == 204 || status == 304; }

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

void HeaderFields::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void HeaderFields::Remove(std::string_view name) {
  std::erase_if(fields_, [&](const HeaderField& field) { return SameName(field.name, name); });
}

void HeaderFields::RemoveAlike(std::string_view name) {
  const auto hyphened = [](std::string text) {
    std::replace(text.begin(), text.end(), '_', '-');
    return text;
  };
  const std::string wanted = hyphened(std::string(name));
  std::erase_if(fields_,
                [&](const HeaderField& field) { return SameName(hyphened(field.name), wanted); });
}

std::size_t HeaderFields::Count(std::string_view name) const {
  const auto same = [&](const HeaderField& field) { return SameName(field.name, name); };
  return static_cast<std::size_t>(std::count_if(fields_.begin(), fields_.end(), same));
}

const std::string* HeaderFields::Find(std::string_view name) const {
  const auto found = std::find_if(fields_.begin(), fields_.end(), [&](const HeaderField& field) {
    return SameName(field.name, name);
  });
  return found == fields_.end() ? nullptr : &found->value;
}

std::string_view Request::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

void RemoveConnectionFields(HeaderFields& fields) {
  std::vector<std::string> named;
  for (const HeaderField& field : fields.all()) {
    if (!SameName(field.name, "Connection")) continue;
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      named.emplace_back(Trimmed(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
  }
  for (const std::string& name : named) fields.Remove(name);
  for (const std::string_view name : kConnectionFields) fields.Remove(name);
}

bool HasBody(const Response& response) {
  return !response.head_only && !NeverHasBody(response.status);
}

std::string SerializeHead(std::string_view method, std::string_view target,
                          const HeaderFields& fields, std::size_t body_bytes) {
  std::string text;
  text.reserve(kHeadBytes);
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendFields(fields, text);
  const bool framed = body_bytes > 0 || method == "POST" || method == "PUT" || method == "PATCH";
  if (framed) AppendLength(body_bytes, text);
  return text.append("\r\n");
}

std::string Serialize(const Request& request) {
  return SerializeHead(request.method, request.target, request.fields, request.body.size()) +
         request.body;
}

std::string SerializeHead(const Response& response, bool close) {
  std::string text;
  text.reserve(kHeadBytes);
  const auto standard =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status));
  text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  if (response.reason.empty()) {
    text.append(standard.data(), standard.size());
  } else {
    text.append(response.reason);
  }
  text.append("\r\n");
  AppendFields(response.fields, text);
  if (HasBody(response)) AppendLength(response.body.size(), text);
  if (close) text.append("Connection: close\r\n");
  return text.append("\r\n");
}

std::string Serialize(const Response& response, bool close) {
  std::string text = SerializeHead(response, close);
  if (HasBody(response)) text.append(response.body);
  return text;
}

}  // namespace graniteseam::event_http
