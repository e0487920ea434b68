#pragma once

#include <teaseltally/types.hpp>

#include <concepts>
#include <string>
#include <string_view>

/// @file
/// Structured log lines.

namespace teaseltally {

/// Builds a line of `key=value` pairs.
///
/// @code
/// log_line("move").add("slot", 7).add("reason", "draining").text();
/// @endcode
class log_line {
public:
    /// @param event value of the first pair, `event`.
    explicit log_line(std::string_view event) : text_("event=") { text_ += event; }

    /// Appends a pair with a text; spaces and quotes in it are escaped by quoting.
    log_line& add(std::string_view key, std::string_view value);

    /// Appends a pair with a number or identifier.
    template <typename Value>
    requires std::integral<Value> || std::is_enum_v<Value> log_line& add(std::string_view key, Value value)
    {
        if constexpr (std::is_enum_v<Value>)
            return add(key, std::string_view{std::to_string(number(value))});
        else
            return add(key, std::string_view{std::to_string(value)});
    }

    /// @returns the line.
    [[nodiscard]] const std::string& text() const noexcept { return text_; }

private:
    std::string text_;
};

} // namespace teaseltally
