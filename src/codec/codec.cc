#include "graniteseam/codec/codec.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace graniteseam::codec::internal {

namespace {

[[noreturn]] void Abort(const char* what) {
  std::fprintf(stderr, "codec: %s: %s\n", what, avro_strerror());
  std::abort();
}

/// Bounds and releases the memory that avro-c allocates while it decodes on this thread. avro-c
/// allocates a buffer of the length in the input before it checks that so many bytes follow, and
/// leaks the buffer when they do not.
class DecodeScope {
 public:
  explicit DecodeScope(std::size_t input_bytes)
      : allocation_maximum_(input_bytes + kSlack),
        element_budget_(input_bytes * kDecodedBytesPerInputByte + kDecodedBytesAllowance) {
    current_ = this;
  }
  ~DecodeScope() {
    current_ = nullptr;
    for (void* block : live_) std::free(block);
  }
  DecodeScope(const DecodeScope&) = delete;
  DecodeScope& operator=(const DecodeScope&) = delete;

  static DecodeScope* Current() { return current_; }

  void* Reallocate(void* block, std::size_t size) {
    if (size > allocation_maximum_) return nullptr;
    Untrack(block);
    void* moved = std::realloc(block, size);
    if (moved != nullptr) live_.push_back(moved);
    return moved;
  }

  /// Suspends tracking while memory that outlives the scope is allocated.
  class Suspension {
   public:
    Suspension() : suspended_(std::exchange(current_, nullptr)) {}
    ~Suspension() { current_ = suspended_; }
    Suspension(const Suspension&) = delete;
    Suspension& operator=(const Suspension&) = delete;

   private:
    DecodeScope* suspended_;
  };

  /// Stops tracking a block; no effect when it is not tracked.
  void Untrack(void* block) {
    const auto found = std::find(live_.rbegin(), live_.rend(), block);
    if (found != live_.rend()) live_.erase(std::next(found).base());
  }

  int Charge(std::size_t bytes) {
    if (bytes > element_budget_) return ENOMEM;
    element_budget_ -= bytes;
    return 0;
  }

 private:
  /// Allowance in bytes: avro-c adds a terminator to each buffer and allocates small control
  /// blocks.
  static constexpr std::size_t kSlack = 256;
  static thread_local DecodeScope* current_;

  std::size_t allocation_maximum_;
  std::size_t element_budget_;
  std::vector<void*> live_;
};

thread_local DecodeScope* DecodeScope::current_ = nullptr;

void* Allocate(void*, void* block, std::size_t, std::size_t new_size) {
  DecodeScope* scope = DecodeScope::Current();
  if (new_size == 0) {
    if (scope != nullptr) scope->Untrack(block);
    std::free(block);
    return nullptr;
  }
  return scope != nullptr ? scope->Reallocate(block, new_size) : std::realloc(block, new_size);
}

/// Must run before the first allocation by avro-c, so that every block is freed by the allocator
/// that created it.
void InstallAllocator() {
  static std::once_flag once;
  std::call_once(once, [] { avro_set_allocator(&Allocate, nullptr); });
}

struct ReaderCloser {
  void operator()(avro_reader_t reader) const { avro_reader_free(reader); }
};
using Reader = std::unique_ptr<std::remove_pointer_t<avro_reader_t>, ReaderCloser>;

struct WriterCloser {
  void operator()(avro_writer_t writer) const { avro_writer_free(writer); }
};
using Writer = std::unique_ptr<std::remove_pointer_t<avro_writer_t>, WriterCloser>;

avro_reader_t ThreadReader(std::string_view bytes) {
  thread_local const Reader kReader(avro_reader_memory(nullptr, 0));
  avro_reader_memory_set_source(kReader.get(), bytes.data(),
                                static_cast<std::int64_t>(bytes.size()));
  return kReader.get();
}

avro_writer_t ThreadWriter(std::string& buffer) {
  thread_local const Writer kWriter(avro_writer_memory(nullptr, 0));
  avro_writer_memory_set_dest(kWriter.get(), buffer.data(),
                              static_cast<std::int64_t>(buffer.size()));
  return kWriter.get();
}

}  // namespace

avro_schema_t ParseSchema(const std::string& text) {
  InstallAllocator();
  const DecodeScope::Suspension suspension;
  avro_schema_t schema = nullptr;
  if (avro_schema_from_json_length(text.data(), text.size(), &schema) != 0) {
    Abort("a derived schema is invalid");
  }
  return schema;
}

int ChargeDecodeBudget(std::size_t bytes) {
  DecodeScope* scope = DecodeScope::Current();
  return scope == nullptr ? EINVAL : scope->Charge(bytes);
}

std::string TakeBuffer(avro_wrapped_buffer_t* buffer) {
  std::string text(static_cast<const char*>(buffer->buf), buffer->size);
  avro_wrapped_buffer_free(buffer);
  return text;
}

std::string EncodeValue(avro_value_t value) {
  InstallAllocator();
  std::size_t size = 0;
  if (avro_value_sizeof(&value, &size) != 0) Abort("cannot compute the size of a value");
  std::string bytes(size, '\0');
  if (avro_value_write(ThreadWriter(bytes), &value) != 0) Abort("cannot write a value");
  return bytes;
}

Result<void> DecodeValue(std::string_view bytes, avro_value_t value) {
  if (bytes.size() > kEncodedBytesMaximum) {
    return Fail(ErrorKind::kTooLarge,
                "A message of " + std::to_string(bytes.size()) + " bytes exceeds the limit of " +
                    std::to_string(kEncodedBytesMaximum) + ".",
                "Send smaller messages.");
  }
  InstallAllocator();
  avro_reader_t reader = ThreadReader(bytes);
  const DecodeScope scope(bytes.size());
  if (avro_value_read(reader, &value) != 0) {
    return Fail(ErrorKind::kMalformedMessage,
                "A message of " + std::to_string(bytes.size()) +
                    " bytes does not decode under its schema (" + avro_strerror() + ").",
                "Check that both sides run compatible versions.");
  }
  char next = 0;
  if (avro_read(reader, &next, 1) == 0) {
    return Fail(ErrorKind::kMalformedMessage, "Bytes follow the end of a message.",
                "Check that both sides run compatible versions.");
  }
  return {};
}

}  // namespace graniteseam::codec::internal
