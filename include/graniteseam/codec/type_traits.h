/// @file
/// The C++ types that the codec supports, and the Avro type that encodes each.
///
/// | C++ | Avro |
/// | --- | --- |
/// | bool | boolean |
/// | signed integers up to 32 bits, unsigned up to 16 bits | int |
/// | other integers, NumericId, durations, instants | long (64-bit unsigned by its bit pattern) |
/// | double, float | double |
/// | std::string, NameId | bytes, so that any byte is preserved |
/// | described enumeration | enum |
/// | described struct | record |
/// | std::vector<T> | array |
/// | std::optional<T> | union of null and T |
/// | std::variant<T...> | union of T... in order |
#pragma once

#include <boost/describe/enumerators.hpp>
#include <boost/describe/members.hpp>
#include <boost/mp11.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::codec::internal {

template <class T>
inline constexpr bool kAlwaysFalse = false;

template <class T, template <class...> class Template>
inline constexpr bool kIsInstance = false;
template <template <class...> class Template, class... Arguments>
inline constexpr bool kIsInstance<Template<Arguments...>, Template> = true;

template <class T>
inline constexpr bool kIsDuration = false;
template <class Rep, class Period>
inline constexpr bool kIsDuration<std::chrono::duration<Rep, Period>> = true;

template <class T>
inline constexpr bool kIsInstant = false;
template <class Clock, class D>
inline constexpr bool kIsInstant<std::chrono::time_point<Clock, D>> = true;

template <class T>
concept Bytes = std::is_same_v<T, std::string> || kIsInstance<T, NameId>;

template <class T>
concept Integer = std::is_integral_v<T> && !std::is_same_v<T, bool>;

/// Integers encoded as Avro int: every value fits in 32 signed bits.
template <class T>
concept SmallInteger = Integer<T> &&(sizeof(T) < 4 || (sizeof(T) == 4 && std::is_signed_v<T>));

/// Types encoded as Avro long.
template <class T>
concept Long = (Integer<T> && !SmallInteger<T>) || kIsInstance<T, NumericId> || kIsDuration<T> ||
               kIsInstant<T>;

template <class T>
concept Enumeration = std::is_enum_v<T>;

template <class T>
concept Vector = kIsInstance<T, std::vector>;

template <class T>
concept Optional = kIsInstance<T, std::optional>;

template <class T>
concept Variant = kIsInstance<T, std::variant>;

template <class T>
concept Record =
    boost::describe::has_describe_members<T>::value && std::is_class_v<T> && !Bytes<T> && !Long<T>;

template <class T>
using Members = boost::describe::describe_members<T, boost::describe::mod_public>;

template <class T>
using Enumerators = boost::describe::describe_enumerators<T>;

/// Gives the type of the member that a pointer refers to: `decltype(MemberTypeOf(pointer))`.
template <class Class, class Member>
Member MemberTypeOf(Member Class::*);

}  // namespace graniteseam::codec::internal
