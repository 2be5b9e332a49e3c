#include "graniteseam/codec/codec.h"

#include <criterion/criterion.h>

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>

using graniteseam::Attempt;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::codec::Decode;
using graniteseam::codec::Encode;

namespace codec_test {

enum class Colour { kRed, kGreen = 7, kBlue };
BOOST_DESCRIBE_ENUM(Colour, kRed, kGreen, kBlue)

struct Inner {
  graniteseam::ServerId name;
  std::uint32_t count = 0;
  bool operator==(const Inner&) const = default;
};
BOOST_DESCRIBE_STRUCT(Inner, (), (name, count))

struct Everything {
  bool flag = false;
  std::int32_t small = 0;
  std::uint16_t tiny = 0;
  std::int64_t large = 0;
  std::uint64_t largest = 0;
  double ratio = 0;
  std::string text;
  graniteseam::Term term;
  Colour colour = Colour::kRed;
  Inner inner;
  std::vector<Inner> inners;
  std::vector<std::string> names;
  std::optional<Inner> maybe;
  std::variant<Inner, std::int64_t, std::string> either;
  graniteseam::Duration duration{};
  std::optional<graniteseam::Instant> instant;
  bool operator==(const Everything&) const = default;
};
BOOST_DESCRIBE_STRUCT(Everything, (),
                      (flag, small, tiny, large, largest, ratio, text, term, colour, inner, inners,
                       names, maybe, either, duration, instant))

Everything Sample() {
  Everything sample;
  sample.flag = true;
  sample.small = -7;
  sample.tiny = 65'535;
  sample.large = std::numeric_limits<std::int64_t>::min();
  sample.largest = std::numeric_limits<std::uint64_t>::max();
  sample.ratio = -0.125;
  sample.text = std::string("a\0b\xff", 4);
  sample.term = graniteseam::Term{9};
  sample.colour = Colour::kBlue;
  sample.inner = {graniteseam::ServerId{"server"}, 4'000'000'000U};
  sample.inners = {sample.inner, {}, sample.inner};
  sample.names = {"", "x", std::string(1'000, '\0')};
  sample.maybe = sample.inner;
  sample.either = std::string("text");
  sample.duration = graniteseam::Duration(-3);
  sample.instant = graniteseam::InstantFromMicros(17);
  return sample;
}

template <class T>
void ExpectSurvives(const T& object) {
  const auto outcome = Attempt([&] { return Decode<T>(Encode(object)); });
  cr_assert(ErrorOf(outcome) == nullptr, "%s", ToString(*ErrorOf(outcome)).c_str());
  cr_assert(std::get<T>(outcome) == object);
}

template <class T>
void ExpectMalformed(std::string_view bytes) {
  const auto outcome = Attempt([&] { return Decode<T>(bytes); });
  cr_assert(ErrorOf(outcome) != nullptr);
  cr_assert(ErrorOf(outcome)->kind == ErrorKind::kMalformedMessage);
}

}  // namespace codec_test

using codec_test::Everything;
using codec_test::ExpectMalformed;
using codec_test::ExpectSurvives;
using codec_test::Inner;
using codec_test::Sample;

Test(codec, a_value_of_every_type_survives) {
  ExpectSurvives(Sample());
  ExpectSurvives(Everything{});
}

Test(codec, values_without_a_record_survive) {
  ExpectSurvives(std::string("\0", 1));
  ExpectSurvives(std::vector<std::vector<std::int32_t>>{{1, 2}, {}, {3}});
  ExpectSurvives(std::variant<Inner, std::string>(Inner{}));
  ExpectSurvives(std::optional<std::string>());
  ExpectSurvives(codec_test::Colour::kGreen);
}

Test(codec, every_truncation_is_malformed) {
  const std::string bytes = Encode(Sample());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    ExpectMalformed<Everything>(std::string_view(bytes).substr(0, length));
  }
}

Test(codec, trailing_bytes_are_malformed) { ExpectMalformed<Everything>(Encode(Sample()) + '\0'); }

Test(codec, a_length_beyond_the_input_is_malformed_and_not_allocated) {
  // A length of 2^62 as a zig-zag variable-length integer.
  ExpectMalformed<std::string>("\x80\x80\x80\x80\x80\x80\x80\x80\x80\x01");
  ExpectMalformed<std::string>("\xfe\xff\xff\xff\xff\xff\xff\xff\xff\x01");
  ExpectMalformed<std::string>("\x01");
  ExpectMalformed<std::string>("");
}

Test(codec, an_array_count_beyond_the_input_is_malformed) {
  ExpectMalformed<std::vector<Inner>>("\xfe\xff\xff\xff\xff\xff\xff\xff\xff\x01");
  ExpectMalformed<std::vector<std::string>>("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x00");
}

Test(codec, an_unknown_union_branch_or_enumerator_is_malformed) {
  ExpectMalformed<std::optional<Inner>>("\x04");
  ExpectMalformed<std::optional<Inner>>("\x01");
  ExpectMalformed<codec_test::Colour>("\x06");
  ExpectMalformed<codec_test::Colour>("\x01");
}

Test(codec, an_integer_out_of_range_is_malformed) {
  ExpectMalformed<std::uint16_t>(Encode(std::int32_t{-1}));
  ExpectMalformed<std::uint32_t>(Encode(std::int64_t{1} << 40));
}
