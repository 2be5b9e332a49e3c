#include "src/protocol/dial_patience.h"

#include <criterion/criterion.h>

using graniteseam::protocol::DialPatience;

Test(dial_patience, grows_with_each_connection_that_was_given_up_to_a_bound) {
  DialPatience patience;
  const auto handshake = patience.handshake_time();
  const int looks = patience.unanswered_looks();
  patience.GaveUp();
  cr_assert(patience.handshake_time() == 2 * handshake);
  cr_assert(patience.unanswered_looks() == 2 * looks);
  for (int connection = 0; connection < 10; ++connection) patience.GaveUp();
  cr_assert(patience.handshake_time() == 4 * handshake);
  cr_assert(patience.unanswered_looks() == 4 * looks);
}

Test(dial_patience, is_short_again_once_a_connection_has_held) {
  DialPatience patience;
  const int looks = patience.unanswered_looks();
  patience.GaveUp();
  for (int connection = 0; connection < 3; ++connection) {
    patience.Ready();
    for (int look = 0; look < 39; ++look) patience.Watched();
    cr_assert(patience.unanswered_looks() == 2 * looks, "none of them held");
  }
  patience.Ready();
  for (int look = 0; look < 40; ++look) patience.Watched();
  cr_assert(patience.unanswered_looks() == looks);
}
