#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Differences between two versions of a large text, so that a change costs what it changes.

namespace teaseltally {

/// Replacement of a part of a text.
struct text_edit {
    /// Offset of the part in the earlier text, in bytes.
    std::size_t offset = 0;
    /// Length of the part in bytes.
    std::size_t removed = 0;
    /// Text that takes its place.
    std::string inserted;
    bool operator==(const text_edit&) const = default;
};

/// What turns one text into another.
struct text_difference {
    /// Digest of the earlier text.
    std::uint64_t from = 0;
    /// Digest of the later text.
    std::uint64_t to = 0;
    /// Replacements in the order of their offsets, without overlaps.
    std::vector<text_edit> edits;
    /// Returns the memory that the edits take, in bytes.
    [[nodiscard]] std::size_t size() const noexcept;
    bool operator==(const text_difference&) const = default;
};

/// Returns the digest that identifies a text; it is never 0.
[[nodiscard]] std::uint64_t text_digest(std::string_view text);

/// Returns the difference between two texts. Texts are compared in parts that end with a closing bracket, as
/// the rows of a table in JSON do. The edits consist of whole parts, so that they are valid UTF-8 if both
/// texts are.
[[nodiscard]] text_difference difference_between(std::string_view from, std::string_view to);

/// Applies a difference.
/// @param from text that the difference is for.
/// @returns the later text; nothing if the edits do not fit `from` or do not lead to the digest
/// `difference.to`.
[[nodiscard]] std::optional<std::string> apply_difference(const text_difference& difference,
                                                          std::string_view from);

} // namespace teaseltally
