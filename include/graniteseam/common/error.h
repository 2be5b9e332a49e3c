/// @file
/// Typed errors on Boost.LEAF. An error has a kind, a message with the cause, and a remedy.
///
/// A function that can fail returns Result<T>. LEAF delivers the Error object to the nearest
/// enclosing handler: use Attempt() (or boost::leaf::try_handle_all) where an error is handled and
/// BOOST_LEAF_CHECK / BOOST_LEAF_AUTO where it is propagated. Without an enclosing handler the
/// Error object is lost, so every thread's top-level function must handle errors.
#pragma once

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace graniteseam {

/// Category of an error. Its name appears in logs and problem bodies, and determines exit codes.
enum class ErrorKind {
  kInvalidArgument,     ///< An external value violates its documented form.
  kInvalidSettings,     ///< A settings file or flag is invalid; lists every fault at once.
  kInvalidBundle,       ///< A bundle violates a rule of its format.
  kMalformedMessage,    ///< Bytes from a peer do not decode under the expected schema.
  kTooLarge,            ///< A body, frame or file exceeds its documented limit.
  kUnauthenticated,     ///< No valid credential was presented.
  kPermissionDenied,    ///< The credential is valid but does not permit this operation.
  kNotFound,            ///< The named object does not exist.
  kVersionConflict,     ///< Same version with another digest, or lower than the newest.
  kFailedPrecondition,  ///< The state does not allow the step yet, for example rolling unsigned.
  kNotLeader,           ///< Another control process leads; the message names it when known.
  kUnavailable,         ///< Temporarily impossible; safe to retry as the remedy says.
  kOverloaded,          ///< Refused to protect capacity; retry after the stated time.
  kDeadlineExceeded,    ///< The deadline passed before the work began.
  kNotOwner,            ///< The server does not hold the named shard at the named epoch.
  kOutcomeUnknown,      ///< The work may or may not have run; must not be repeated blindly.
  kStorageFull,         ///< No disk space; nothing was lost, nothing new is accepted.
  kStorageCorrupt,      ///< A checksum failed outside the torn tail.
  kStorageIo,           ///< A read, write or sync failed in the operating system.
  kIncompatibleFormat,  ///< A data folder or message has a version that is not supported.
  kTransport,           ///< A connection failed, timed out or was closed.
  kInternal,            ///< A violated invariant: a defect in the program.
};

/// Returns the stable lower_snake_case name of a kind, for example "not_leader".
std::string_view ErrorKindName(ErrorKind kind);

/// One error as reported to operators and clients.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;  ///< One sentence: what went wrong, with the values involved.
  std::string remedy;   ///< One sentence: what to do about it.
};

/// Returns "kind: message Remedy: remedy".
std::string ToString(const Error& error);

/// A value of type T, or an error.
template <class T>
using Result = boost::leaf::result<T>;

/// Raises an error: `return Fail(ErrorKind::kNotFound, "...", "...");`.
boost::leaf::error_id Fail(ErrorKind kind, std::string message, std::string remedy);

/// Re-raises an existing error, for example one received from a peer.
boost::leaf::error_id Fail(Error error);

/// The value of a Result, or the error that LEAF carried. For call sites that inspect both without
/// a handler, and for tests.
template <class T>
using Outcome = std::variant<T, Error>;

namespace internal {

template <class R>
struct ResultTraits;

template <class T>
struct ResultTraits<Result<T>> {
  using Value = T;
};

template <>
struct ResultTraits<Result<void>> {
  using Value = std::monostate;
};

}  // namespace internal

/// Runs `function`, which returns Result<T>, and captures its value or error.
template <class Function>
auto Attempt(Function&& function) {
  using R = std::decay_t<decltype(function())>;
  using Captured = Outcome<typename internal::ResultTraits<R>::Value>;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Captured> {
        R result = std::forward<Function>(function)();
        if (!result) return result.error();
        if constexpr (std::is_same_v<R, Result<void>>) {
          return Captured(std::monostate{});
        } else {
          return Captured(std::move(result.value()));
        }
      },
      [](const Error& error) { return Captured(error); },
      [] {
        return Captured(Error{ErrorKind::kInternal, "An error without a description was raised.",
                              "Report this as a defect."});
      });
}

/// Returns the error of an outcome, or nullptr when it holds a value.
template <class T>
const Error* ErrorOf(const Outcome<T>& outcome) {
  return std::get_if<Error>(&outcome);
}

}  // namespace graniteseam
