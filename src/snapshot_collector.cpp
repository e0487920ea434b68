#include <teaseltally/json.hpp>
#include <teaseltally/snapshot.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Maximum number of chunks of a snapshot; it bounds the memory that a malformed record can make `add`
/// allocate.
constexpr std::uint64_t max_chunks = 65'536;

} // namespace

std::string encode_snapshot_chunk(const cluster_state& state, std::size_t index, session_id writer)
{
    Json::Value record;
    record["position"] = to_json(state.position());
    record["writer"] = to_json(writer);
    record["index"] = to_json(index);
    record["count"] = to_json(state.snapshot_chunk_count());
    record["text"] = state.snapshot_chunk(index);
    return json_text(record);
}

void snapshot_collector::add(std::string_view record)
{
    const auto parsed = parse_json(record, "snapshots");
    if (failure(parsed) != nullptr)
        return;
    json_reader reader(std::get<Json::Value>(parsed), "snapshots");
    const auto position = reader.unsigned_at("position");
    const auto writer = reader.unsigned_at("writer");
    const auto index = reader.unsigned_at("index");
    const auto count = reader.unsigned_at("count");
    auto text = reader.string_at("text");
    if (reader.first_error() != nullptr || count == 0 || count > max_chunks || index >= count)
        return;
    auto& chunks = snapshots_[{position, writer}];
    chunks.resize(count);
    chunks[index] = std::move(text);
}

std::optional<cluster_state> snapshot_collector::newest() const
{
    for (auto candidate = snapshots_.rbegin(); candidate != snapshots_.rend(); ++candidate) {
        if (std::ranges::any_of(candidate->second, &std::string::empty))
            continue;
        auto state = cluster_state::from_snapshot(candidate->second);
        if (auto* restored = std::get_if<cluster_state>(&state))
            return std::move(*restored);
    }
    return std::nullopt;
}

} // namespace teaseltally
