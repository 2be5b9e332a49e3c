// A body was held in a string that grew by doubling: up to three times its bytes.
#include "src/event_http/segmented_text.h"

#include <criterion/criterion.h>

using namespace graniteseam::event_http;

Test(segmented_text, gives_back_what_was_appended_in_pieces_of_any_size) {
  for (const std::size_t piece : {std::size_t{1'000}, std::size_t{70'001},
                                  SegmentedText::kSegmentBytes, 3 * SegmentedText::kSegmentBytes}) {
    SegmentedText text;
    std::string expected;
    for (char letter = 'a'; expected.size() < 4 * SegmentedText::kSegmentBytes; ++letter) {
      if (letter > 'z') letter = 'a';
      const std::string bytes(piece, letter);
      text.Append(bytes);
      expected += bytes;
    }
    cr_assert_eq(text.size(), expected.size());
    cr_assert(text.Take() == expected);
    cr_assert_eq(text.size(), 0);
    cr_assert_eq(text.capacity(), 0);
  }
}

Test(segmented_text, holds_one_segment_more_than_its_text_at_most) {
  SegmentedText text;
  const std::string piece(8'192, 'x');
  while (text.size() < 8 * SegmentedText::kSegmentBytes) {
    text.Append(piece);
    cr_assert_lt(text.capacity(), text.size() + SegmentedText::kSegmentBytes);
  }
}

Test(segmented_text, short_text_takes_no_whole_segment) {
  SegmentedText text;
  text.Append(std::string(100, 'x'));
  cr_assert_leq(text.capacity(), 200);
  cr_assert_eq(text.Take().size(), 100);
}
