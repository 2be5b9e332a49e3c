/// @file
/// Turns the method, path and body of operators' requests into typed requests, and answers into
/// JSON. Needs no socket.
#pragma once

#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/control/operator_messages.h"

namespace graniteseam::http {

/// An operator's request as it came over HTTP.
struct IncomingCall {
  std::string method;         ///< "GET" or "POST".
  std::string path;           ///< Without the query.
  std::string service_query;  ///< Value of the query's `service`; empty when absent.
  std::string body;
};

/// Reads and checks a call; a bundle is parsed and its digest computed here.
/// @return kNotFound for an unknown path, kInvalidArgument, kMalformedMessage, kInvalidBundle.
Result<control::OperatorRequest> ReadOperatorCall(const IncomingCall& call);

/// The body of an answer other than an error.
std::string AnswerBody(const control::OperatorAnswer& answer);

}  // namespace graniteseam::http
