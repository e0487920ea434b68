#include <teaseltally/cluster_state.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Maximum number of sessions whose last sequence number is kept to reject repeated records; the session
/// whose last record is oldest is dropped first.
constexpr std::size_t max_remembered_sessions = 4096;
/// Maximum number of voters of a voter group.
constexpr std::size_t max_voters = 7;

bool contains(std::span<const session_id> sessions, session_id wanted)
{
    return std::ranges::find(sessions, wanted) != sessions.end();
}

} // namespace

/// Applies one record to a state, with one overload for each record type.
class record_applier {
public:
    record_applier(cluster_state& state, epoch offset, session_id author)
        : state_(state), offset_(offset), author_(author)
    {
    }

    apply_outcome operator()(const session_join& join)
    {
        if (state_.sessions_.contains(author_))
            return {result_code::rejected_stale_base};
        if (state_.version_ > 0 && !state_.settings_.find_data_centre(join.data_centre))
            return {result_code::rejected_unknown_name};
        state_.sessions_[author_] = {join, offset_};
        return {result_code::ok, 1};
    }

    apply_outcome operator()(const session_leave& leave)
    {
        for (const auto& [name, group] : state_.voter_groups_) {
            if (contains(group.voters, leave.session))
                return {result_code::rejected_no_majority};
        }
        return state_.sessions_.erase(leave.session) == 1 ? apply_outcome{result_code::ok, 1}
                                                          : apply_outcome{result_code::rejected_stale_base};
    }

    apply_outcome operator()(const voter_change& change)
    {
        auto found = state_.voter_groups_.find(change.voter_group);
        const voter_group_state current =
            found == state_.voter_groups_.end() ? voter_group_state{} : found->second;
        if (current.since != change.base)
            return {result_code::rejected_stale_base};
        if (change.add
                ? !may_vote(change.session, change.voter_group) || contains(current.voters, change.session)
                : !contains(current.voters, change.session))
            return {result_code::rejected_unknown_name};
        if (change.add && current.voters.size() >= max_voters)
            return {result_code::rejected_limit};
        if (state_.guards_.majority_acknowledgement && !acknowledged(current, change.acknowledged))
            return {result_code::rejected_no_majority};
        voter_group_state& group = state_.voter_groups_[change.voter_group];
        group.since = offset_;
        if (change.add)
            group.voters.push_back(change.session);
        else
            std::erase(group.voters, change.session);
        return {result_code::ok, 1};
    }

    apply_outcome operator()(const voter_challenge& challenge)
    {
        const auto found = state_.voter_groups_.find(challenge.voter_group);
        if (found == state_.voter_groups_.end() || found->second.since != challenge.base)
            return {result_code::rejected_stale_base};
        if (!may_vote(author_, challenge.voter_group))
            return {result_code::rejected_unknown_name};
        found->second.challenged_at = offset_;
        return {result_code::ok, 1};
    }

    /// A reset is accepted only for the current voter set and a challenge that no log heartbeat has answered.
    apply_outcome operator()(const voter_reset& reset)
    {
        const auto found = state_.voter_groups_.find(reset.voter_group);
        if (found == state_.voter_groups_.end() || found->second.since != reset.base ||
            found->second.challenged_at != reset.challenge)
            return {result_code::rejected_stale_base};
        if (reset.challenge == no_epoch || found->second.log_heartbeat_at > reset.challenge)
            return {result_code::rejected_no_majority};
        if (!may_vote(reset.session, reset.voter_group))
            return {result_code::rejected_unknown_name};
        found->second.since = offset_;
        found->second.reset_at = offset_;
        found->second.voters = {reset.session};
        return {result_code::ok, 1};
    }

    apply_outcome operator()(const configuration_publish& publish)
    {
        if (publish.expected_version != state_.version_)
            return {result_code::configuration_lost_race};
        auto parsed = parse_configuration(publish.documents);
        auto* accepted = std::get_if<configuration>(&parsed);
        if (accepted == nullptr)
            return {result_code::rejected_malformed};
        if (!preserves_identities(*accepted))
            return {result_code::rejected_limit};
        state_.settings_ = std::move(*accepted);
        state_.documents_ = publish.documents;
        ++state_.version_;
        state_.configured_at_ = offset_;
        register_names();
        state_.index_settings();
        release_lost_owners();
        return {result_code::ok, 1};
    }

    apply_outcome operator()(const slot_move& move)
    {
        if (number(move.service) >= state_.services_.size())
            return {result_code::rejected_unknown_name};
        apply_outcome outcome{result_code::rejected_stale_base, 0};
        for (const auto& entry : move.slots) {
            if (const auto code = move_slot(move.service, entry); code == result_code::ok)
                ++outcome.applied;
            else if (outcome.applied == 0)
                outcome.code = code;
        }
        if (outcome.applied > 0)
            outcome.code = result_code::ok;
        return outcome;
    }

    apply_outcome operator()(const key_move& move)
    {
        if (number(move.service) >= state_.services_.size() ||
            state_.services_[number(move.service)].slots.empty())
            return {result_code::rejected_unknown_name};
        const key_ref key{move.service, move.key};
        const auto found = state_.hot_keys_.find(key);
        const slot_state& current = state_.ownership(move.service, move.key);
        if (current.since != move.base)
            return {result_code::rejected_stale_base};
        if (!current.released())
            return {result_code::rejected_moving};
        if (found != state_.hot_keys_.end() && move.to == current.owner && erase_redundant_override(key))
            return {result_code::ok, 1};
        if (!is_configured_for(move.to, move.service) || move.to == current.owner)
            return {result_code::rejected_unknown_name};
        if (found == state_.hot_keys_.end() &&
            state_.hot_keys_.size() >= state_.settings_.deployment.hot_keys)
            return {result_code::rejected_limit};
        const slot_state next{offset_, move.to, owner_awaiting_release(current.owner)};
        state_.hot_keys_[key] = next;
        erase_redundant_override(key);
        return {result_code::ok, 1};
    }

    apply_outcome operator()(const slots_released& released)
    {
        if (number(released.service) >= state_.services_.size())
            return {result_code::rejected_unknown_name};
        auto& slots = state_.services_[number(released.service)].slots;
        apply_outcome outcome{result_code::rejected_stale_base, 0};
        for (const auto& entry : released.slots) {
            if (number(entry.slot) >= slots.size())
                continue;
            slot_state& slot = slots[number(entry.slot)];
            if (slot.since != entry.since || slot.released())
                continue;
            slot.previous_owner = no_target;
            state_.unreleased_.erase({released.service, entry.slot});
            ++outcome.applied;
        }
        if (outcome.applied > 0)
            outcome.code = result_code::ok;
        return outcome;
    }

    apply_outcome operator()(const key_released& released)
    {
        const key_ref key{released.service, released.key};
        const auto found = state_.hot_keys_.find(key);
        if (found == state_.hot_keys_.end() || found->second.since != released.since ||
            found->second.released())
            return {result_code::rejected_stale_base};
        found->second.previous_owner = no_target;
        erase_redundant_override(key);
        return {result_code::ok, 1};
    }

    apply_outcome operator()(const target_report& report)
    {
        if (number(report.target) >= state_.targets_.size())
            return {result_code::rejected_unknown_name};
        target_state& target = state_.targets_[number(report.target)];
        if (target.reported_at != report.base)
            return {result_code::rejected_stale_base};
        target.reported_at = offset_;
        target.condition = report.condition;
        return {result_code::ok, 1};
    }

    apply_outcome operator()(const log_heartbeat_record& heartbeat)
    {
        const auto found = state_.voter_groups_.find(heartbeat.voter_group);
        if (found == state_.voter_groups_.end() || !contains(found->second.voters, author_))
            return {result_code::rejected_unknown_name};
        found->second.log_heartbeat_at = offset_;
        std::erase_if(state_.relinquished_,
                      [&](const auto& entry) { return entry.first.first == heartbeat.voter_group; });
        return {result_code::ok, 1};
    }

    apply_outcome operator()(const voter_group_relinquish& relinquish)
    {
        const auto found = state_.voter_groups_.find(relinquish.voter_group);
        if (found == state_.voter_groups_.end() || number(relinquish.service) >= state_.services_.size())
            return {result_code::rejected_unknown_name};
        const auto* service = state_.settings_of(relinquish.service);
        if (found->second.log_heartbeat_at != relinquish.base || relinquish.base == no_epoch)
            return {result_code::rejected_stale_base};
        if (service == nullptr || service->isolation_grace.count() == 0)
            return {result_code::rejected_limit};
        state_.relinquished_[{relinquish.voter_group, relinquish.service}] = offset_;
        release_relinquished();
        return {result_code::ok, 1};
    }

private:
    [[nodiscard]] bool may_vote(session_id session, const std::string& group) const
    {
        const auto found = state_.sessions_.find(session);
        return found != state_.sessions_.end() &&
               voter_group_name(found->second.description.data_centre,
                                found->second.description.voter_group) == group;
    }

    /// Returns whether a strict majority of the voter set has acknowledged a change; always true for an
    /// empty set, which has no voter that could acknowledge it.
    [[nodiscard]] static bool acknowledged(const voter_group_state& group, std::span<const session_id> voters)
    {
        if (group.voters.empty())
            return true;
        const std::set<session_id> distinct(voters.begin(), voters.end());
        const auto count =
            std::ranges::count_if(distinct, [&](session_id v) { return contains(group.voters, v); });
        return static_cast<std::size_t>(count) >= majority(group.voters.size());
    }

    /// Returns whether `next` removes a target that is still an owner, or a previous owner without a release,
    /// of a slot or hot key.
    [[nodiscard]] bool removes_owner(const configuration& next) const
    {
        std::vector<bool> removed;
        for (const auto& target : state_.targets_)
            removed.push_back(target.configured);
        for (const auto& target : next.targets) {
            if (const auto known = state_.find_target(target.name))
                removed[number(*known)] = false;
        }
        if (std::ranges::find(removed, true) == removed.end())
            return false;
        const auto is_removed = [&](target_id target) {
            return target != no_target && removed[number(target)];
        };
        const auto references_removed = [&](const slot_state& slot) {
            return is_removed(slot.owner) || is_removed(slot.previous_owner);
        };
        return std::ranges::any_of(state_.services_,
                                   [&](const service_state& s) {
                                       return std::ranges::any_of(s.slots, references_removed);
                                   }) ||
               std::ranges::any_of(state_.hot_keys_,
                                   [&](const auto& key) { return references_removed(key.second); });
    }

    /// Returns whether `next` keeps the settings that must not change for an existing name: whether a service
    /// is keyed, its number of slots, the number of voter groups of a data centre, and the service and data
    /// centre of a target. It also must not remove a target that slots or hot keys refer to.
    [[nodiscard]] bool preserves_identities(const configuration& next) const
    {
        for (const auto& service : next.services) {
            const auto known = state_.find_service(service.name);
            if (!known)
                continue;
            const auto& current = state_.services_[number(*known)];
            if (current.keyed != service.keyed || (service.keyed && current.slots.size() != service.slots))
                return false;
        }
        for (const auto& data_centre : next.data_centres) {
            const auto* current = state_.settings_.find_data_centre(data_centre.name);
            if (current != nullptr && current->cells != data_centre.cells)
                return false;
        }
        if (removes_owner(next))
            return false;
        return std::ranges::all_of(next.targets, [&](const target_settings& target) {
            const auto known = state_.find_target(target.name);
            if (!known)
                return true;
            const auto& current = state_.targets_[number(*known)];
            return current.data_centre == target.data_centre &&
                   state_.services_[number(current.service)].name == target.service;
        });
    }

    /// Adds the services and targets that are new in the settings, and updates `configured` and `lost` of all
    /// targets from the settings.
    void register_names()
    {
        for (const auto& service : state_.settings_.services) {
            if (state_.find_service(service.name))
                continue;
            state_.services_.push_back({service.name, service.keyed, {}});
            if (service.keyed)
                state_.services_.back().slots.resize(service.slots);
        }
        for (auto& target : state_.targets_)
            target.configured = false;
        for (const auto& target : state_.settings_.targets) {
            const target_id next_id{static_cast<std::uint32_t>(state_.targets_.size())};
            const auto [known, added] = state_.target_ids_.try_emplace(target.name, next_id);
            if (added)
                state_.targets_.push_back({target.name,
                                           *state_.find_service(target.service),
                                           target.data_centre,
                                           {},
                                           {},
                                           false,
                                           false});
            target_state& entry = state_.targets_[number(known->second)];
            entry.configured = true;
            const auto* data_centre = state_.settings_.find_data_centre(target.data_centre);
            entry.lost = target.lost || (data_centre != nullptr && data_centre->lost);
        }
    }

    [[nodiscard]] bool is_configured_for(target_id target, service_id service) const
    {
        return number(target) < state_.targets_.size() && state_.targets_[number(target)].configured &&
               state_.targets_[number(target)].service == service;
    }

    /// Returns whether a slot or hot key may move without a release by its owner: it has no owner, the owner
    /// is lost, or the voter group of the owner has relinquished the service.
    [[nodiscard]] bool needs_no_release(target_id target) const
    {
        if (target == no_target || state_.targets_[number(target)].lost)
            return true;
        const auto service = state_.targets_[number(target)].service;
        return state_.relinquished_.contains({state_.voter_group_of(target), service});
    }

    [[nodiscard]] target_id owner_awaiting_release(target_id owner) const
    {
        return needs_no_release(owner) ? no_target : owner;
    }

    result_code move_slot(service_id service, const slot_assignment& entry)
    {
        auto& slots = state_.services_[number(service)].slots;
        if (number(entry.slot) >= slots.size() || !is_configured_for(entry.to, service))
            return result_code::rejected_unknown_name;
        slot_state& slot = slots[number(entry.slot)];
        if ((state_.guards_.base_epoch && slot.since != entry.base) || slot.owner == entry.to)
            return result_code::rejected_stale_base;
        if (state_.guards_.release_before_move && !slot.released())
            return result_code::rejected_moving;
        slot = {offset_, entry.to, owner_awaiting_release(slot.owner)};
        if (!slot.released())
            state_.unreleased_.insert({service, entry.slot});
        return result_code::ok;
    }

    /// Removes the override of a hot key if its owner is the owner of its slot again and neither awaits a
    /// release. The slot gets a new epoch, so that the fencing token of the key never decreases.
    /// @returns whether the override was removed.
    bool erase_redundant_override(const key_ref& key)
    {
        const auto found = state_.hot_keys_.find(key);
        if (found == state_.hot_keys_.end() || !found->second.released())
            return false;
        const auto slot = state_.slot_of(key.service, key.key);
        slot_state& home_slot = state_.services_[number(key.service)].slots[number(slot)];
        if (!home_slot.released() || home_slot.owner != found->second.owner)
            return false;
        state_.hot_keys_.erase(found);
        home_slot.since = offset_;
        return true;
    }

    /// Marks the slots and hot keys whose previous owner satisfies a predicate as released.
    template <typename Predicate>
    void release_where(Predicate may_release)
    {
        std::erase_if(state_.unreleased_, [&](const slot_ref& ref) {
            slot_state& slot = state_.services_[number(ref.service)].slots[number(ref.slot)];
            if (!may_release(slot.previous_owner))
                return false;
            slot.previous_owner = no_target;
            return true;
        });
        for (auto& [key, state] : state_.hot_keys_) {
            if (!state.released() && may_release(state.previous_owner))
                state.previous_owner = no_target;
        }
    }

    void release_lost_owners()
    {
        release_where([&](target_id target) { return state_.targets_[number(target)].lost; });
    }

    void release_relinquished()
    {
        release_where([&](target_id target) { return needs_no_release(target); });
    }

    cluster_state& state_;
    epoch offset_;
    session_id author_;
};

apply_outcome cluster_state::apply(epoch offset, const control_record& record)
{
    if (offset <= position_)
        return {result_code::rejected_repeat};
    position_ = offset;
    auto& [sequence, last_offset] = sequences_[record.session];
    if (guards_.deduplication && record.sequence <= sequence)
        return {result_code::rejected_repeat};
    sequence = record.sequence;
    last_offset = offset;
    if (sequences_.size() > max_remembered_sessions) {
        const auto oldest =
            std::ranges::min_element(sequences_, {}, [](const auto& entry) { return entry.second.second; });
        sequences_.erase(oldest);
    }
    return std::visit(record_applier{*this, offset, record.session}, record.body);
}

void cluster_state::skip(epoch offset) noexcept
{
    position_ = std::max(position_, offset);
}

std::uint64_t cluster_state::last_sequence(session_id session) const
{
    const auto found = sequences_.find(session);
    return found == sequences_.end() ? 0 : found->second.first;
}

std::optional<service_id> cluster_state::find_service(std::string_view name) const noexcept
{
    const auto found =
        std::ranges::find(services_, name, [](const auto& s) { return std::string_view{s.name}; });
    if (found == services_.end())
        return std::nullopt;
    return service_id{static_cast<std::uint32_t>(found - services_.begin())};
}

std::optional<target_id> cluster_state::find_target(std::string_view name) const noexcept
{
    const auto found = target_ids_.find(name);
    return found == target_ids_.end() ? std::nullopt : std::optional{found->second};
}

const target_settings* cluster_state::settings_of(target_id target) const noexcept
{
    return number(target) < target_settings_.size() ? target_settings_[number(target)] : nullptr;
}

const service_settings* cluster_state::settings_of(service_id service) const noexcept
{
    return number(service) < service_settings_.size() ? service_settings_[number(service)] : nullptr;
}

slot_id cluster_state::slot_of(service_id service, key_hash key) const noexcept
{
    const auto count = services_[number(service)].slots.size();
    return slot_id{static_cast<std::uint32_t>(number(key) % std::max<std::size_t>(count, 1))};
}

const slot_state& cluster_state::ownership(service_id service, key_hash key) const noexcept
{
    if (!hot_keys_.empty()) {
        if (const auto found = hot_keys_.find({service, key}); found != hot_keys_.end())
            return found->second;
    }
    return services_[number(service)].slots[number(slot_of(service, key))];
}

std::string cluster_state::voter_group_of(target_id target) const
{
    const auto& entry = targets_[number(target)];
    const auto* data_centre = settings_.find_data_centre(entry.data_centre);
    const std::uint32_t group_count = data_centre == nullptr ? 1 : data_centre->cells;
    return voter_group_name(entry.data_centre,
                            static_cast<std::uint32_t>(rendezvous_rank(entry.name, 0) % group_count));
}

bool cluster_state::accepts_slots(target_id target) const noexcept
{
    const auto* settings = settings_of(target);
    const auto& entry = targets_[number(target)];
    return settings != nullptr && !settings->draining && !entry.lost &&
           entry.condition == target_condition::up;
}

void cluster_state::index_settings()
{
    target_settings_.assign(targets_.size(), nullptr);
    for (const auto& settings : settings_.targets) {
        if (const auto known = find_target(settings.name))
            target_settings_[number(*known)] = &settings;
    }
    service_settings_.clear();
    for (const auto& service : services_)
        service_settings_.push_back(settings_.find_service(service.name));
}

cluster_state::cluster_state(const cluster_state& other)
    : guards_(other.guards_), position_(other.position_), version_(other.version_),
      configured_at_(other.configured_at_), documents_(other.documents_), settings_(other.settings_),
      sessions_(other.sessions_), voter_groups_(other.voter_groups_), services_(other.services_),
      targets_(other.targets_), hot_keys_(other.hot_keys_), unreleased_(other.unreleased_),
      relinquished_(other.relinquished_), sequences_(other.sequences_), target_ids_(other.target_ids_)
{
    index_settings();
}

cluster_state& cluster_state::operator=(const cluster_state& other)
{
    if (this != &other)
        *this = cluster_state(other);
    return *this;
}

cluster_state::cluster_state(cluster_state&& other) noexcept = default;
cluster_state& cluster_state::operator=(cluster_state&& other) noexcept = default;

bool cluster_state::operator==(const cluster_state& other) const
{
    return position_ == other.position_ && version_ == other.version_ &&
           configured_at_ == other.configured_at_ && documents_ == other.documents_ &&
           sessions_ == other.sessions_ && voter_groups_ == other.voter_groups_ &&
           services_ == other.services_ && targets_ == other.targets_ && hot_keys_ == other.hot_keys_ &&
           unreleased_ == other.unreleased_ && relinquished_ == other.relinquished_ &&
           sequences_ == other.sequences_;
}

std::string voter_group_name(std::string_view data_centre, std::uint32_t index)
{
    return std::string{data_centre} + "/" + std::to_string(index);
}

} // namespace teaseltally
