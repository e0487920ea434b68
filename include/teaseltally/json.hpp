#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <json/value.h>
#include <limits>
#include <string>
#include <string_view>

/// @file
/// Checked access to JSON values for log records and peer messages.

namespace teaseltally {

/// Parses one JSON document in strict mode.
/// @param source origin of the document; becomes `error::source` of an error.
/// @returns the value, or an error with code `message_malformed`.
[[nodiscard]] result<Json::Value> parse_json(std::string_view text, std::string_view source);

/// Serializes a JSON value.
/// @returns the text on one line without insignificant white space.
[[nodiscard]] std::string json_text(const Json::Value& value);

/// Returns the beginning of an error message that quotes what was received, which may be long.
[[nodiscard]] std::string shortened(std::string message);

/// Returns whether a text is valid UTF-8. Others do not pass through JSON unchanged.
[[nodiscard]] bool is_utf8(std::string_view text) noexcept;

/// Converts a number to JSON.
/// @returns an unsigned JSON number.
[[nodiscard]] inline Json::Value to_json(std::uint64_t value)
{
    return Json::Value{static_cast<Json::UInt64>(value)};
}

/// Converts an identifier to JSON.
/// @returns the underlying value as an unsigned JSON number.
template <typename Id>
requires std::is_enum_v<Id>
[[nodiscard]] Json::Value to_json(Id id)
{
    return to_json(std::uint64_t{number(id)});
}

/// Reads fields of a JSON object and keeps the first error, so that a caller can check once after reading all
/// fields.
///
/// @code
/// json_reader reader(value, "record 17");
/// const auto slot = reader.id<slot_id>("slot");
/// if (reader.first_error()) return *reader.first_error();
/// @endcode
class json_reader {
public:
    /// Creates a reader; a value that is not an object is the first error.
    /// @param value the object; it must outlive the reader.
    /// @param source origin of the object; becomes `error::source` of an error.
    json_reader(const Json::Value& value, std::string_view source);

    /// Reads an unsigned number.
    /// @returns the number at `key`; zero if the field is missing or not an unsigned number, which is an
    /// error.
    [[nodiscard]] std::uint64_t unsigned_at(const char* key);
    /// Reads a string.
    /// @returns the string at `key`; an empty one if the field is missing or not a string, which is an error.
    [[nodiscard]] std::string string_at(const char* key);
    /// Reads a Boolean value.
    /// @returns the value at `key`; false if the field is missing or not Boolean, which is an error.
    [[nodiscard]] bool bool_at(const char* key);
    /// Reads an array.
    /// @returns the array at `key`; an empty one if the field is missing or not an array, which is an error.
    [[nodiscard]] const Json::Value& array_at(const char* key);
    /// Reads a nested object.
    /// @returns the object at `key`; an empty one if the field is missing or not an object, which is an
    /// error.
    [[nodiscard]] const Json::Value& object_at(const char* key);

    /// Reads an identifier.
    /// @tparam Id enumeration of the identifier.
    /// @returns the identifier at `key`; zero if the field is missing, not an unsigned number or above the
    /// range of `Id`, which is an error.
    template <typename Id>
    [[nodiscard]] Id id(const char* key)
    {
        using rep = std::underlying_type_t<Id>;
        const std::uint64_t value = unsigned_at(key);
        if (value > std::numeric_limits<rep>::max()) {
            set_error(key, "a number of at most " + std::to_string(std::numeric_limits<rep>::max()));
            return Id{};
        }
        return Id{static_cast<rep>(value)};
    }

    /// Returns the first error, or null if all reads succeeded; the pointer is valid as long as the
    /// reader.
    [[nodiscard]] const error* first_error() const noexcept { return has_error_ ? &first_error_ : nullptr; }

private:
    [[nodiscard]] const Json::Value& member(const char* key) const;
    void set_error(const char* key, std::string_view expected);

    const Json::Value& value_;
    std::string source_;
    bool has_error_ = false;
    error first_error_;
};

} // namespace teaseltally
