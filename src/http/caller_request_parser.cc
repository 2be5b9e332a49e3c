#include "src/http/caller_request_parser.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "graniteseam/common/hex.h"
#include "src/http/header_rules.h"

namespace graniteseam::http {

namespace {

constexpr std::string_view kPathPrefix = "/v1/services/";
constexpr std::string_view kKeysPart = "keys/";
constexpr std::size_t kNameMaximum = 256;
constexpr std::size_t kRequestEchoMaximum = 64;
constexpr std::size_t kKeyMaximum = 1024;

/// The headers of callers.md in one pass: the library's look-up compares letter by letter without
/// case, and these names begin alike.
struct KnownHeaders {
  struct Value {
    const char* name;
    std::string text = {};
    bool given = false;
  };
  Value group{kGroupHeader};
  Value deadline{kDeadlineHeader};
  Value request{kRequestHeader};
  Value operation{kOperationHeader};
};

Result<KnownHeaders> ReadKnownHeaders(const httplib::Request& request) {
  KnownHeaders known;
  for (const auto& [name, text] : request.headers) {
    for (KnownHeaders::Value* value :
         {&known.group, &known.deadline, &known.request, &known.operation}) {
      if (!SameName(name, value->name)) continue;
      if (value->given) {
        return Fail(ErrorKind::kInvalidArgument,
                    "The header " + std::string(value->name) + " is given more than once.",
                    "Send it once.");
      }
      value->given = true;
      value->text = text;
    }
  }
  return known;
}

int HexDigit(char letter) {
  if (letter >= '0' && letter <= '9') return letter - '0';
  if (letter >= 'a' && letter <= 'f') return letter - 'a' + 10;
  if (letter >= 'A' && letter <= 'F') return letter - 'A' + 10;
  return -1;
}

Result<std::optional<Duration>> ParseDeadline(const std::string& text) {
  if (text.empty()) return std::optional<Duration>();
  std::int64_t millis = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), millis);
  constexpr std::int64_t kMillisMaximum = 86'400'000;
  if (error != std::errc{} || end != text.data() + text.size() || millis < 0 ||
      millis > kMillisMaximum) {
    return Fail(ErrorKind::kInvalidArgument,
                "Graniteseam-Deadline-Ms is not a whole number of milliseconds.",
                "Send a number from 0 to 86400000.");
  }
  return std::optional<Duration>(std::chrono::milliseconds(millis));
}

/// Printable ASCII: anything else could not be written into a header again.
bool IsHeaderSafe(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char letter) { return letter > ' ' && letter <= '~'; });
}

std::string RequestDigest(const ForwardedRequest& request) {
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
  for (const std::string* part : {&request.method, &request.target, &request.body}) {
    const std::string size = std::to_string(part->size()) + ":";
    EVP_DigestUpdate(context, size.data(), size.size());
    EVP_DigestUpdate(context, part->data(), part->size());
  }
  EVP_DigestFinal_ex(context, digest.data(), &length);
  EVP_MD_CTX_free(context);
  return ToHex(digest.data(), length);
}

Result<void> ParsePath(std::string_view target, routing::CallerRequest& request) {
  std::string_view path = target.substr(0, target.find('?'));
  if (!path.starts_with(kPathPrefix)) {
    return Fail(ErrorKind::kNotFound, "The path is not one of a service.",
                "Use /v1/services/{service}/keys/{key}/{rest} or /v1/services/{service}/{rest}.");
  }
  path.remove_prefix(kPathPrefix.size());
  const std::size_t end_of_service = path.find('/');
  request.service.value = std::string(path.substr(0, end_of_service));
  if (request.service.Empty() || request.service.value.size() > kNameMaximum) {
    return Fail(ErrorKind::kInvalidArgument, "The path names no service.",
                "Put the service's name after /v1/services/.");
  }
  if (end_of_service == std::string_view::npos) return {};
  path.remove_prefix(end_of_service + 1);
  if (!path.starts_with(kKeysPart)) return {};
  path.remove_prefix(kKeysPart.size());
  BOOST_LEAF_AUTO(key, DecodePercent(path.substr(0, path.find('/'))));
  if (key.empty() || key.size() > kKeyMaximum || !IsHeaderSafe(key)) {
    return Fail(ErrorKind::kInvalidArgument,
                "The key is empty, longer than 1024 bytes or not printable ASCII without spaces.",
                "Use another key.");
  }
  request.key = std::move(key);
  return {};
}

Result<void> ParseHeaders(const httplib::Request& request, CallerMessage& message) {
  BOOST_LEAF_AUTO(known, ReadKnownHeaders(request));
  std::string& group = known.group.text;
  if (group.empty() || group.size() > kNameMaximum || !IsHeaderSafe(group)) {
    return Fail(ErrorKind::kInvalidArgument,
                "The header Graniteseam-Group is missing or malformed.",
                "Send the name of the caller's group.");
  }
  message.request.group.value = std::move(group);
  BOOST_LEAF_ASSIGN(message.request.deadline, ParseDeadline(known.deadline.text));
  message.request_echo = std::move(known.request.text);
  if (message.request_echo.size() > kRequestEchoMaximum || !IsHeaderSafe(message.request_echo)) {
    message.request_echo.clear();
    return Fail(ErrorKind::kInvalidArgument,
                "Graniteseam-Request is longer than 64 characters or not printable ASCII.",
                "Send a shorter one.");
  }
  std::string& operation = known.operation.text;
  if (operation.size() > kRequestEchoMaximum || !IsHeaderSafe(operation)) {
    return Fail(ErrorKind::kInvalidArgument, "Idempotency-Key is malformed.",
                "Send a UUID of version 7 in lower case.");
  }
  if (!operation.empty()) message.request.operation = OperationId{std::move(operation)};
  return {};
}

void FillForwarded(const httplib::Request& request, const std::string& content_type,
                   std::string body, CallerMessage& message) {
  ForwardedRequest& forwarded = message.forwarded;
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.body = std::move(body);
  // In the order in which they are sent; see UpstreamClient.
  HeaderList& headers = forwarded.headers;
  headers.emplace_back(kGroupHeader, message.request.group.value);
  if (message.request.key) headers.emplace_back(kKeyHeader, *message.request.key);
  headers.emplace_back(kServiceHeader, message.request.service.value);
  if (message.request.operation) {
    headers.emplace_back(kOperationHeader, message.request.operation->value);
  }
  if (!content_type.empty()) headers.emplace_back("Content-Type", content_type);
  if (request.has_header("Accept")) {
    headers.emplace_back("Accept", request.get_header_value("Accept"));
  }
}

}  // namespace

Result<std::string> DecodePercent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    const int high = i + 2 < text.size() ? HexDigit(text[i + 1]) : -1;
    const int low = i + 2 < text.size() ? HexDigit(text[i + 2]) : -1;
    if (high < 0 || low < 0) {
      return Fail(ErrorKind::kInvalidArgument, "The path holds a malformed percent-encoding.",
                  "Encode each byte as % and two hexadecimal digits.");
    }
    decoded += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return decoded;
}

bool HasBody(const httplib::Request& request) {
  if (request.has_header("Transfer-Encoding")) return true;
  const std::string length = request.get_header_value("Content-Length");
  return !length.empty() && length != "0";
}

Result<void> CheckFraming(const httplib::Request& request) {
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  const std::size_t codings = request.get_header_value_count("Transfer-Encoding");
  const std::string length = request.get_header_value("Content-Length");
  constexpr std::size_t kDigitsMaximum = 15;
  const bool digits = length.size() <= kDigitsMaximum &&
                      std::all_of(length.begin(), length.end(),
                                  [](char letter) { return letter >= '0' && letter <= '9'; });
  const bool chunked =
      codings == 0 || SameName(request.get_header_value("Transfer-Encoding"), "chunked");
  if (lengths + codings > 1 || !digits || !chunked) {
    return Fail(ErrorKind::kInvalidArgument, "The request's length is given twice or malformed.",
                "Send either one Content-Length or Transfer-Encoding: chunked.");
  }
  constexpr std::array<std::string_view, 4> kWithBody = {"POST", "PUT", "PATCH", "DELETE"};
  const bool may_have_body =
      std::find(kWithBody.begin(), kWithBody.end(), request.method) != kWithBody.end();
  if (HasBody(request) && !may_have_body) {
    return Fail(ErrorKind::kInvalidArgument, "A " + request.method + " request has a body.",
                "Send a body only with POST, PUT, PATCH or DELETE.");
  }
  return {};
}

Result<CallerMessage> ParseCallerRequest(const httplib::Request& request,
                                         const std::string& content_type, std::string body) {
  CallerMessage message;
  BOOST_LEAF_CHECK(ParsePath(request.target, message.request));
  BOOST_LEAF_CHECK(ParseHeaders(request, message));
  message.request.body_bytes = body.size();
  FillForwarded(request, content_type, std::move(body), message);
  if (message.request.operation) message.request.request_digest = RequestDigest(message.forwarded);
  return message;
}

}  // namespace graniteseam::http
