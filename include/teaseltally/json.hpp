#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <json/value.h>
#include <limits>
#include <string>
#include <string_view>

/// @file
/// Checked access to JSON values, as log records and peer messages use it.

namespace teaseltally {

/// Parses one JSON document.
/// @param text the document.
/// @param source where it came from, for the error.
/// @returns the value, or `message_malformed`.
[[nodiscard]] result<Json::Value> parse_json(std::string_view text, std::string_view source);

/// Writes a JSON value on one line.
/// @param value any value.
/// @returns its text without insignificant spaces.
[[nodiscard]] std::string json_text(const Json::Value& value);

/// @param value any number.
/// @returns it as an unsigned JSON number.
[[nodiscard]] inline Json::Value to_json(std::uint64_t value)
{
    return Json::Value{static_cast<Json::UInt64>(value)};
}

/// @param id any identifier.
/// @returns its number as an unsigned JSON number.
template <typename Id>
requires std::is_enum_v<Id>
[[nodiscard]] Json::Value to_json(Id id)
{
    return to_json(std::uint64_t{number(id)});
}

/// Reads fields of a JSON object and remembers the first fault.
///
/// @code
/// json_reader reader(value, "record 17");
/// const auto slot = reader.id<slot_id>("slot");
/// if (reader.fault()) return *reader.fault();
/// @endcode
class json_reader {
public:
    /// @param value the object; it must outlive the reader.
    /// @param source where it came from, for the error.
    json_reader(const Json::Value& value, std::string_view source);

    /// @returns the unsigned number at `key`; zero and a fault if there is none.
    [[nodiscard]] std::uint64_t unsigned_at(const char* key);
    /// @returns the text at `key`; empty and a fault if there is none.
    [[nodiscard]] std::string string_at(const char* key);
    /// @returns the truth value at `key`; false and a fault if there is none.
    [[nodiscard]] bool bool_at(const char* key);
    /// @returns the array at `key`; an empty array and a fault if there is none.
    [[nodiscard]] const Json::Value& array_at(const char* key);
    /// @returns the object at `key`; an empty object and a fault if there is none.
    [[nodiscard]] const Json::Value& object_at(const char* key);

    /// @returns the identifier at `key`; zero and a fault if it is absent or out of range.
    template <typename Id>
    [[nodiscard]] Id id(const char* key)
    {
        using rep = std::underlying_type_t<Id>;
        const std::uint64_t value = unsigned_at(key);
        if (value > std::numeric_limits<rep>::max()) {
            set_error(key, "a smaller number");
            return Id{};
        }
        return Id{static_cast<rep>(value)};
    }

    /// @returns the first fault, or null.
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
