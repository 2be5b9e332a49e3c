/// @file
/// Binds described C++ types to avro-c's value interface, so that avro-c reads and writes them in
/// place. There is one static interface per type; an avro_value_t refers to the C++ object without
/// owning it.
#pragma once

#include <avro.h>

#include <array>
#include <cerrno>
#include <limits>

#include "graniteseam/codec/schema.h"

namespace graniteseam::codec::internal {

using Interface = avro_value_iface_t;

/// Parses a derived schema; aborts the program when avro-c rejects it, which is a defect.
avro_schema_t ParseSchema(const std::string& text);

/// Charges the memory of array elements to the budget of the decoding on this thread.
/// @return 0, or an error code: ENOMEM when the budget is exhausted, EINVAL when this thread is not
///     decoding.
int ChargeDecodeBudget(std::size_t bytes);

/// Copies the bytes of an avro-c buffer and frees it.
std::string TakeBuffer(avro_wrapped_buffer_t* buffer);

template <class T>
avro_schema_t SchemaOf() {
  static avro_schema_t schema = ParseSchema(SchemaText<T>());
  return schema;
}

template <class T>
Interface* InterfaceOf();

template <class T>
void Bind(const T& object, avro_value_t* value) {
  value->iface = InterfaceOf<T>();
  value->self = const_cast<T*>(&object);
}

template <class T>
T& Self(void* self) {
  return *static_cast<T*>(self);
}

template <class T>
const T& Self(const void* self) {
  return *static_cast<const T*>(self);
}

template <class T>
std::int64_t ToLong(const T& value) {
  if constexpr (kIsInstance<T, NumericId>) {
    return static_cast<std::int64_t>(value.value);
  } else if constexpr (kIsDuration<T>) {
    return value.count();
  } else if constexpr (kIsInstant<T>) {
    return value.time_since_epoch().count();
  } else {
    return static_cast<std::int64_t>(value);
  }
}

template <class T>
int FromLong(std::int64_t raw, T& value) {
  if constexpr (kIsInstance<T, NumericId>) {
    value.value = static_cast<std::uint64_t>(raw);
  } else if constexpr (kIsDuration<T>) {
    value = T(raw);
  } else if constexpr (kIsInstant<T>) {
    value = T(typename T::duration(raw));
  } else if constexpr (sizeof(T) == sizeof(raw)) {
    value = static_cast<T>(raw);
  } else {
    if (!std::in_range<T>(raw)) return ERANGE;
    value = static_cast<T>(raw);
  }
  return 0;
}

template <class T>
void SetLongMethods(Interface& methods) {
  methods.get_long = [](const Interface*, const void* self, std::int64_t* out) {
    *out = ToLong(Self<T>(self));
    return 0;
  };
  methods.set_long = [](const Interface*, void* self, std::int64_t raw) {
    return FromLong(raw, Self<T>(self));
  };
}

template <class T>
void SetIntMethods(Interface& methods) {
  methods.get_int = [](const Interface*, const void* self, std::int32_t* out) {
    *out = Self<T>(self);
    return 0;
  };
  methods.set_int = [](const Interface*, void* self, std::int32_t raw) {
    if (!std::in_range<T>(raw)) return ERANGE;
    Self<T>(self) = static_cast<T>(raw);
    return 0;
  };
}

template <class T>
void SetBooleanMethods(Interface& methods) {
  methods.get_boolean = [](const Interface*, const void* self, int* out) {
    *out = Self<bool>(self) ? 1 : 0;
    return 0;
  };
  methods.set_boolean = [](const Interface*, void* self, int raw) {
    Self<bool>(self) = raw != 0;
    return 0;
  };
}

template <class T>
void SetDoubleMethods(Interface& methods) {
  methods.get_double = [](const Interface*, const void* self, double* out) {
    *out = Self<T>(self);
    return 0;
  };
  methods.set_double = [](const Interface*, void* self, double raw) {
    Self<T>(self) = static_cast<T>(raw);
    return 0;
  };
}

inline std::string& Text(std::string& value) { return value; }
template <class Tag>
std::string& Text(NameId<Tag>& value) {
  return value.value;
}

template <class T>
void SetBytesMethods(Interface& methods) {
  methods.get_bytes = [](const Interface*, const void* self, const void** data, std::size_t* size) {
    const std::string& text = Text(const_cast<T&>(Self<T>(self)));
    *data = text.data();
    *size = text.size();
    return 0;
  };
  methods.give_bytes = [](const Interface*, void* self, avro_wrapped_buffer_t* buffer) {
    Text(Self<T>(self)) = TakeBuffer(buffer);
    return 0;
  };
}

template <class T>
void SetEnumerationMethods(Interface& methods) {
  methods.get_enum = [](const Interface*, const void* self, int* out) {
    int index = 0;
    int found = -1;
    boost::mp11::mp_for_each<Enumerators<T>>([&](auto descriptor) {
      if (descriptor.value == Self<T>(self)) found = index;
      ++index;
    });
    *out = found;
    return found < 0 ? EINVAL : 0;
  };
  methods.set_enum = [](const Interface*, void* self, int wanted) {
    int index = 0;
    int result = EINVAL;
    boost::mp11::mp_for_each<Enumerators<T>>([&](auto descriptor) {
      if (index++ != wanted) return;
      Self<T>(self) = descriptor.value;
      result = 0;
    });
    return result;
  };
}

template <class T>
void SetVectorMethods(Interface& methods) {
  using Element = typename T::value_type;
  static_assert(!std::is_same_v<Element, bool>,
                "std::vector<bool> has no addressable elements to bind");
  methods.get_size = [](const Interface*, const void* self, std::size_t* size) {
    *size = Self<T>(self).size();
    return 0;
  };
  methods.get_by_index = [](const Interface*, const void* self, std::size_t index,
                            avro_value_t* child, const char**) {
    Bind(Self<T>(self)[index], child);
    return 0;
  };
  methods.append = [](const Interface*, void* self, avro_value_t* child, std::size_t* index) {
    if (const int fault = ChargeDecodeBudget(sizeof(Element))) return fault;
    auto& vector = Self<T>(self);
    Bind(vector.emplace_back(), child);
    if (index != nullptr) *index = vector.size() - 1;
    return 0;
  };
}

template <class T>
void SetOptionalMethods(Interface& methods) {
  using Value = typename T::value_type;
  static constexpr std::monostate kNull;
  methods.get_discriminant = [](const Interface*, const void* self, int* out) {
    *out = Self<T>(self).has_value() ? 1 : 0;
    return 0;
  };
  methods.get_current_branch = [](const Interface*, const void* self, avro_value_t* branch) {
    const auto& optional = Self<T>(self);
    if (optional) {
      Bind<Value>(*optional, branch);
    } else {
      Bind(kNull, branch);
    }
    return 0;
  };
  methods.set_branch = [](const Interface*, void* self, int discriminant, avro_value_t* branch) {
    auto& optional = Self<T>(self);
    if (discriminant == 1) {
      Bind<Value>(optional.emplace(), branch);
    } else {
      optional.reset();
      Bind(kNull, branch);
    }
    return 0;
  };
}

template <class T>
void SetVariantMethods(Interface& methods) {
  methods.get_discriminant = [](const Interface*, const void* self, int* out) {
    *out = static_cast<int>(Self<T>(self).index());
    return 0;
  };
  methods.get_current_branch = [](const Interface*, const void* self, avro_value_t* branch) {
    std::visit([&](const auto& value) { Bind(value, branch); }, Self<T>(self));
    return 0;
  };
  methods.set_branch = [](const Interface*, void* self, int discriminant, avro_value_t* branch) {
    constexpr std::size_t kBranches = std::variant_size_v<T>;
    const auto index = static_cast<std::size_t>(discriminant);
    if (index >= kBranches) return EINVAL;
    boost::mp11::mp_with_index<kBranches>(
        index, [&](auto i) { Bind(Self<T>(self).template emplace<i>(), branch); });
    return 0;
  };
}

template <class T>
void SetRecordMethods(Interface& methods) {
  methods.get_size = [](const Interface*, const void*, std::size_t* size) {
    *size = boost::mp11::mp_size<Members<T>>::value;
    return 0;
  };
  methods.get_by_index = [](const Interface*, const void* self, std::size_t index,
                            avro_value_t* child, const char**) {
    constexpr std::size_t kFields = boost::mp11::mp_size<Members<T>>::value;
    if (index >= kFields) return EINVAL;
    if constexpr (kFields > 0) {
      boost::mp11::mp_with_index<kFields>(index, [&](auto i) {
        using Descriptor = boost::mp11::mp_at_c<Members<T>, i>;
        Bind(Self<T>(self).*Descriptor::pointer, child);
      });
    }
    return 0;
  };
}

template <class T>
constexpr avro_type_t TypeOf() {
  if constexpr (std::is_same_v<T, bool>) return AVRO_BOOLEAN;
  if constexpr (SmallInteger<T>) return AVRO_INT32;
  if constexpr (Long<T>) return AVRO_INT64;
  if constexpr (std::is_floating_point_v<T>) return AVRO_DOUBLE;
  if constexpr (Bytes<T>) return AVRO_BYTES;
  if constexpr (Enumeration<T>) return AVRO_ENUM;
  if constexpr (Vector<T>) return AVRO_ARRAY;
  if constexpr (Optional<T> || Variant<T>) return AVRO_UNION;
  if constexpr (std::is_same_v<T, std::monostate>) return AVRO_NULL;
  return AVRO_RECORD;
}

template <class T>
Interface MakeInterface() {
  Interface methods{};
  methods.get_type = [](const Interface*, const void*) { return TypeOf<T>(); };
  methods.get_schema = [](const Interface*, const void*) { return SchemaOf<T>(); };
  // Values are decoded only into newly constructed objects, so there is nothing to reset.
  methods.reset = [](const Interface*, void*) { return 0; };
  constexpr avro_type_t kType = TypeOf<T>();
  if constexpr (kType == AVRO_BOOLEAN) SetBooleanMethods<T>(methods);
  if constexpr (kType == AVRO_INT32) SetIntMethods<T>(methods);
  if constexpr (kType == AVRO_INT64) SetLongMethods<T>(methods);
  if constexpr (kType == AVRO_DOUBLE) SetDoubleMethods<T>(methods);
  if constexpr (kType == AVRO_BYTES) SetBytesMethods<T>(methods);
  if constexpr (kType == AVRO_ENUM) SetEnumerationMethods<T>(methods);
  if constexpr (kType == AVRO_ARRAY) SetVectorMethods<T>(methods);
  if constexpr (Optional<T>) SetOptionalMethods<T>(methods);
  if constexpr (Variant<T>) SetVariantMethods<T>(methods);
  if constexpr (kType == AVRO_RECORD) SetRecordMethods<T>(methods);
  if constexpr (kType == AVRO_NULL) {
    methods.get_null = [](const Interface*, const void*) { return 0; };
    methods.set_null = [](const Interface*, void*) { return 0; };
  }
  return methods;
}

template <class T>
Interface* InterfaceOf() {
  static Interface methods = MakeInterface<T>();
  return &methods;
}

}  // namespace graniteseam::codec::internal
