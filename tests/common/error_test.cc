#include "graniteseam/common/error.h"

#include <criterion/criterion.h>

using graniteseam::Attempt;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::Fail;
using graniteseam::Result;

namespace {

Result<int> Half(int number) {
  if (number % 2 != 0) {
    return Fail(ErrorKind::kInvalidArgument, "The number is odd.", "Pass an even number.");
  }
  return number / 2;
}

}  // namespace

Test(error, attempt_returns_the_value) {
  const auto outcome = Attempt([] { return Half(4); });
  cr_assert(ErrorOf(outcome) == nullptr);
  cr_assert(std::get<int>(outcome) == 2);
}

Test(error, attempt_captures_kind_message_and_remedy) {
  const auto outcome = Attempt([] { return Half(3); });
  const auto* error = ErrorOf(outcome);
  cr_assert(error != nullptr);
  cr_assert(ToString(*error) ==
            "invalid_argument: The number is odd. Remedy: Pass an even number.");
}
