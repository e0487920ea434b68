#pragma once

#include <teaseltally/cluster_state.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// @file
/// Records of the snapshot stream. A snapshot is written as several records, each with one chunk.

namespace teaseltally {

/// Encodes one chunk of a snapshot as a record of the snapshot stream.
/// @param index number of the chunk, from 0 and below `cluster_state::snapshot_chunk_count`.
/// @param writer session that writes the snapshot.
/// @returns the JSON text of the record on one line.
[[nodiscard]] std::string encode_snapshot_chunk(const cluster_state& state, std::size_t index,
                                                session_id writer);

/// Collects records of the snapshot stream and finds the complete snapshot with the highest position.
class snapshot_collector {
public:
    /// Adds a record. A malformed record is ignored.
    /// @param record the JSON text of the record.
    void add(std::string_view record);

    /// Decodes the complete snapshot with the highest position. A snapshot that lacks a chunk or is malformed
    /// is skipped in favour of the next lower position.
    /// @returns the state, or nothing if there is no complete and well-formed snapshot.
    [[nodiscard]] std::optional<cluster_state> newest() const;

private:
    /// Chunks of each snapshot by its position and writer; a chunk that is missing is empty.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<std::string>> snapshots_;
};

} // namespace teaseltally
