#pragma once

#include <charconv>
#include <cstring>
#include <optional>
#include <string_view>

/// @file
/// Reads JSON text of a known form without building a tree of its values.

namespace teaseltally {

/// Position in a JSON text without white space, as the encoders of this library write it. Each function reads
/// what it is named after, or fails and leaves the position where it was. Texts of another form are left to
/// `parse_json`.
class json_cursor {
public:
    explicit json_cursor(std::string_view text) noexcept : rest_(text) {}

    /// Reads a literal text.
    [[nodiscard]] bool read(std::string_view literal) noexcept
    {
        if (!rest_.starts_with(literal))
            return false;
        rest_.remove_prefix(literal.size());
        return true;
    }
    /// Reads a whole number that fits the type.
    /// @param value set to the number, or to an unspecified value if there is none.
    template <typename Number>
    [[nodiscard]] bool read_number(Number& value) noexcept
    {
        const auto [end, failed] = std::from_chars(rest_.data(), rest_.data() + rest_.size(), value);
        const auto length = static_cast<std::size_t>(end - rest_.data());
        const bool is_fraction = length < rest_.size() && std::strchr(".eE", rest_[length]) != nullptr;
        const bool has_leading_zero = length > 1 && rest_.starts_with('0');
        if (failed != std::errc{} || is_fraction || has_leading_zero)
            return false;
        rest_.remove_prefix(length);
        return true;
    }
    /// Reads a string without escape sequences, control characters or bytes beyond ASCII.
    [[nodiscard]] std::optional<std::string_view> read_string() noexcept
    {
        if (!rest_.starts_with('"'))
            return std::nullopt;
        for (std::size_t index = 1; index < rest_.size(); ++index) {
            if (rest_[index] == '"') {
                const auto value = rest_.substr(1, index - 1);
                rest_.remove_prefix(index + 1);
                return value;
            }
            if (rest_[index] == '\\' || rest_[index] < ' ' || rest_[index] > '~')
                return std::nullopt;
        }
        return std::nullopt;
    }
    /// Returns whether all of the text has been read.
    [[nodiscard]] bool at_end() const noexcept { return rest_.empty(); }

private:
    std::string_view rest_;
};

} // namespace teaseltally
