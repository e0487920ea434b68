#include <teaseltally/cluster_state.hpp>
#include <teaseltally/json.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Maximum number of slots in one chunk.
constexpr std::size_t slots_per_chunk = 4096;
/// Maximum number of slots of a service in a snapshot; the same limit applies to configurations.
constexpr std::size_t max_slots_per_service = 1'048'576;

Json::Value row(std::initializer_list<Json::Value> columns)
{
    Json::Value out{Json::arrayValue};
    for (const auto& column : columns)
        out.append(column);
    return out;
}

} // namespace

/// Encodes a state as snapshot chunks: chunk 0 contains everything except slots, the others contain the slots
/// of one service each.
class snapshot_writer {
public:
    explicit snapshot_writer(const cluster_state& state) : state_(state) {}

    [[nodiscard]] std::size_t count() const
    {
        std::size_t chunks = 1;
        for (const auto& service : state_.services_)
            chunks += chunks_of(service);
        return chunks;
    }

    [[nodiscard]] std::string chunk(std::size_t index) const
    {
        if (index == 0)
            return json_text(head());
        std::size_t remaining = index - 1;
        for (std::size_t service = 0; service < state_.services_.size(); ++service) {
            const auto& slots = state_.services_[service].slots;
            const std::size_t chunks = chunks_of(state_.services_[service]);
            if (remaining < chunks) {
                const std::size_t first = remaining * slots_per_chunk;
                return json_text(slot_rows(service, first, std::min(first + slots_per_chunk, slots.size())));
            }
            remaining -= chunks;
        }
        return {};
    }

private:
    [[nodiscard]] static std::size_t chunks_of(const service_state& service)
    {
        return (service.slots.size() + slots_per_chunk - 1) / slots_per_chunk;
    }

    [[nodiscard]] Json::Value head() const
    {
        Json::Value out;
        out["position"] = to_json(state_.position_);
        out["version"] = to_json(state_.version_);
        out["configured_at"] = to_json(state_.configured_at_);
        out["base"] = state_.documents_.base;
        out["overlays"] = Json::Value{Json::objectValue};
        for (const auto& [file, text] : state_.documents_.overlays)
            out["overlays"][file] = text;
        out["sessions"] = sessions();
        out["cells"] = voter_groups();
        out["services"] = services();
        out["targets"] = targets();
        out["hot_keys"] = hot_keys();
        out["yields"] = Json::Value{Json::arrayValue};
        for (const auto& [key, at] : state_.relinquished_)
            out["yields"].append(row({key.first, to_json(key.second), to_json(at)}));
        out["sequences"] = Json::Value{Json::arrayValue};
        for (const auto& [session, last] : state_.sequences_)
            out["sequences"].append(row({to_json(session), to_json(last.first), to_json(last.second)}));
        return out;
    }

    [[nodiscard]] Json::Value sessions() const
    {
        Json::Value out{Json::arrayValue};
        for (const auto& [id, session] : state_.sessions_) {
            const auto& join = session.description;
            out.append(row({to_json(id), to_json(session.since), join.instance, join.data_centre,
                            join.voter_group, join.address, join.peer_port}));
        }
        return out;
    }

    [[nodiscard]] Json::Value voter_groups() const
    {
        Json::Value out{Json::arrayValue};
        for (const auto& [name, group] : state_.voter_groups_) {
            Json::Value voters{Json::arrayValue};
            for (const session_id voter : group.voters)
                voters.append(to_json(voter));
            out.append(row({name, to_json(group.since), to_json(group.reset_at),
                            to_json(group.log_heartbeat_at), to_json(group.challenged_at), voters}));
        }
        return out;
    }

    [[nodiscard]] Json::Value services() const
    {
        Json::Value out{Json::arrayValue};
        for (const auto& service : state_.services_)
            out.append(row({service.name, service.keyed, to_json(service.slots.size())}));
        return out;
    }

    [[nodiscard]] Json::Value targets() const
    {
        Json::Value out{Json::arrayValue};
        for (const auto& target : state_.targets_)
            out.append(
                row({target.name, to_json(target.service), target.data_centre, to_json(target.reported_at),
                     target.condition == target_condition::up, target.configured, target.lost}));
        return out;
    }

    [[nodiscard]] Json::Value hot_keys() const
    {
        Json::Value out{Json::arrayValue};
        for (const auto& [key, slot] : state_.hot_keys_)
            out.append(row({to_json(key.service), to_json(key.key), to_json(slot.since), to_json(slot.owner),
                            to_json(slot.previous_owner)}));
        return out;
    }

    [[nodiscard]] Json::Value slot_rows(std::size_t service, std::size_t first, std::size_t last) const
    {
        Json::Value out;
        out["service"] = to_json(service);
        out["first"] = to_json(first);
        out["slots"] = Json::Value{Json::arrayValue};
        for (std::size_t index = first; index < last; ++index) {
            const auto& slot = state_.services_[service].slots[index];
            out["slots"].append(to_json(slot.since));
            out["slots"].append(to_json(slot.owner));
            out["slots"].append(to_json(slot.previous_owner));
        }
        return out;
    }

    const cluster_state& state_;
};

/// Decodes snapshot chunks. A value of an unexpected JSON type makes the accessors of JsonCpp throw
/// `Json::Exception`, which `read` returns as an error.
class snapshot_reader {
public:
    result<cluster_state> read(std::span<const std::string> chunks)
    {
        if (chunks.empty())
            return error{result_code::message_malformed, "snapshot has no chunks, expected at least 1",
                         "snapshot"};
        try {
            for (std::size_t index = 0; index < chunks.size(); ++index) {
                auto parsed = parse_json(chunks[index], "snapshot chunk " + std::to_string(index));
                if (const auto* parse_error = failure(parsed))
                    return *parse_error;
                const auto& value = std::get<Json::Value>(parsed);
                if (index == 0)
                    read_head(value);
                else if (!read_slots(value))
                    return error{result_code::message_malformed,
                                 "service or owner is unknown, or slots are malformed or out of range",
                                 "snapshot chunk " + std::to_string(index)};
            }
        }
        catch (const Json::Exception& exception) {
            return error{result_code::message_malformed, exception.what(), "snapshot"};
        }
        if (slots_read_ != slots_expected_)
            return error{result_code::message_malformed,
                         "got " + std::to_string(slots_read_) + " slots, expected " +
                             std::to_string(slots_expected_),
                         "snapshot"};
        return std::move(state_);
    }

private:
    void read_head(const Json::Value& head)
    {
        state_.position_ = epoch{head["position"].asUInt64()};
        state_.version_ = head["version"].asUInt64();
        state_.configured_at_ = epoch{head["configured_at"].asUInt64()};
        state_.documents_.base = head["base"].asString();
        for (const auto& file : head["overlays"].getMemberNames())
            state_.documents_.overlays[file] = head["overlays"][file].asString();
        if (state_.version_ > 0) {
            auto parsed = parse_configuration(state_.documents_);
            if (auto* accepted = std::get_if<configuration>(&parsed))
                state_.settings_ = std::move(*accepted);
            else
                throw Json::RuntimeError("configuration in chunk 0 is invalid");
        }
        read_sessions_and_groups(head);
        read_services_and_targets(head);
        for (std::uint32_t index = 0; index < state_.targets_.size(); ++index)
            state_.target_ids_.emplace(state_.targets_[index].name, target_id{index});
        state_.index_settings();
    }

    void read_sessions_and_groups(const Json::Value& head)
    {
        for (const auto& entry : head["sessions"])
            state_.sessions_[session_id{entry[0U].asUInt64()}] = {
                {entry[2U].asString(), entry[3U].asString(), entry[4U].asUInt(), entry[5U].asString(),
                 static_cast<std::uint16_t>(entry[6U].asUInt())},
                epoch{entry[1U].asUInt64()}};
        for (const auto& entry : head["cells"]) {
            auto& group = state_.voter_groups_[entry[0U].asString()];
            group.since = epoch{entry[1U].asUInt64()};
            group.reset_at = epoch{entry[2U].asUInt64()};
            group.log_heartbeat_at = epoch{entry[3U].asUInt64()};
            group.challenged_at = epoch{entry[4U].asUInt64()};
            for (const auto& voter : entry[5U])
                group.voters.push_back(session_id{voter.asUInt64()});
        }
        for (const auto& entry : head["sequences"])
            state_.sequences_[session_id{entry[0U].asUInt64()}] = {entry[1U].asUInt64(),
                                                                   epoch{entry[2U].asUInt64()}};
    }

    void read_services_and_targets(const Json::Value& head)
    {
        for (const auto& entry : head["services"]) {
            state_.services_.push_back({entry[0U].asString(), entry[1U].asBool(), {}});
            if (entry[2U].asUInt() > max_slots_per_service)
                throw Json::RuntimeError("service \"" + entry[0U].asString() + "\" has " +
                                         std::to_string(entry[2U].asUInt()) + " slots, expected at most " +
                                         std::to_string(max_slots_per_service));
            state_.services_.back().slots.resize(entry[2U].asUInt());
            slots_expected_ += entry[2U].asUInt();
        }
        for (const auto& entry : head["targets"])
            state_.targets_.push_back({entry[0U].asString(), service_id{entry[1U].asUInt()},
                                       entry[2U].asString(), epoch{entry[3U].asUInt64()},
                                       entry[4U].asBool() ? target_condition::up : target_condition::down,
                                       entry[5U].asBool(), entry[6U].asBool()});
        for (const auto& entry : head["hot_keys"])
            state_.hot_keys_[{service_id{entry[0U].asUInt()}, key_hash{entry[1U].asUInt64()}}] = {
                epoch{entry[2U].asUInt64()}, target_id{entry[3U].asUInt()}, target_id{entry[4U].asUInt()}};
        for (const auto& entry : head["yields"])
            state_.relinquished_[{entry[0U].asString(), service_id{entry[1U].asUInt()}}] =
                epoch{entry[2U].asUInt64()};
    }

    bool read_slots(const Json::Value& chunk)
    {
        const auto service = chunk["service"].asUInt64();
        const auto first = chunk["first"].asUInt64();
        const auto& columns = chunk["slots"];
        if (service >= state_.services_.size() || columns.size() % 3 != 0)
            return false;
        auto& slots = state_.services_[service].slots;
        const std::size_t count = columns.size() / 3;
        if (first > slots.size() || count > slots.size() - first)
            return false;
        for (Json::ArrayIndex index = 0; index < count; ++index) {
            slot_state& slot = slots[first + index];
            slot = {epoch{columns[3 * index].asUInt64()}, target_id{columns[3 * index + 1].asUInt()},
                    target_id{columns[3 * index + 2].asUInt()}};
            if (!is_known(slot.owner) || !is_known(slot.previous_owner))
                return false;
            if (!slot.released())
                state_.unreleased_.insert({service_id{static_cast<std::uint32_t>(service)},
                                           slot_id{static_cast<std::uint32_t>(first + index)}});
        }
        slots_read_ += count;
        return true;
    }

    [[nodiscard]] bool is_known(target_id target) const
    {
        return target == no_target || number(target) < state_.targets_.size();
    }

    cluster_state state_;
    std::size_t slots_expected_ = 0;
    std::size_t slots_read_ = 0;
};

std::size_t cluster_state::snapshot_chunk_count() const noexcept
{
    return snapshot_writer{*this}.count();
}

std::string cluster_state::snapshot_chunk(std::size_t index) const
{
    return snapshot_writer{*this}.chunk(index);
}

std::vector<std::string> cluster_state::snapshot() const
{
    std::vector<std::string> chunks;
    for (std::size_t index = 0; index < snapshot_chunk_count(); ++index)
        chunks.push_back(snapshot_chunk(index));
    return chunks;
}

result<cluster_state> cluster_state::from_snapshot(std::span<const std::string> chunks)
{
    return snapshot_reader{}.read(chunks);
}

} // namespace teaseltally
