#include <teaseltally/cluster_state.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Sessions whose last sequence is remembered for dropping repeats.
constexpr std::size_t max_remembered_sessions = 4096;
constexpr std::size_t max_voters = 7;

bool contains(std::span<const session_id> sessions, session_id wanted)
{
    return std::ranges::find(sessions, wanted) != sessions.end();
}

} // namespace

/// Applies one record to a state.
class record_folder {
public:
    record_folder(cluster_state& state, epoch at, session_id author) : state_(state), at_(at), author_(author)
    {
    }

    fold_outcome operator()(const session_join& join)
    {
        if (state_.sessions_.contains(author_))
            return {result_code::rejected_stale_base};
        if (state_.version_ > 0 && !state_.settings_.find_data_centre(join.data_centre))
            return {result_code::rejected_unknown_name};
        state_.sessions_[author_] = {join, at_};
        return {result_code::ok, 1};
    }

    fold_outcome operator()(const session_leave& leave)
    {
        for (const auto& [name, cell] : state_.cells_) {
            if (contains(cell.voters, leave.session))
                return {result_code::rejected_no_majority};
        }
        return state_.sessions_.erase(leave.session) == 1 ? fold_outcome{result_code::ok, 1}
                                                          : fold_outcome{result_code::rejected_stale_base};
    }

    fold_outcome operator()(const voter_change& change)
    {
        auto found = state_.cells_.find(change.cell);
        const cell_state present = found == state_.cells_.end() ? cell_state{} : found->second;
        if (present.since != change.base)
            return {result_code::rejected_stale_base};
        if (change.add ? !may_vote(change.session, change.cell) || contains(present.voters, change.session)
                       : !contains(present.voters, change.session))
            return {result_code::rejected_unknown_name};
        if (change.add && present.voters.size() >= max_voters)
            return {result_code::rejected_limit};
        if (state_.guards_.acknowledgement && !acknowledged(present, change.acknowledged))
            return {result_code::rejected_no_majority};
        cell_state& cell = state_.cells_[change.cell];
        cell.since = at_;
        if (change.add)
            cell.voters.push_back(change.session);
        else
            std::erase(cell.voters, change.session);
        return {result_code::ok, 1};
    }

    fold_outcome operator()(const voter_challenge& challenge)
    {
        const auto found = state_.cells_.find(challenge.cell);
        if (found == state_.cells_.end() || found->second.since != challenge.base)
            return {result_code::rejected_stale_base};
        if (!may_vote(author_, challenge.cell))
            return {result_code::rejected_unknown_name};
        found->second.challenged_at = at_;
        return {result_code::ok, 1};
    }

    /// A reset builds on the voter set and on a challenge that no beat has answered.
    fold_outcome operator()(const voter_reset& reset)
    {
        const auto found = state_.cells_.find(reset.cell);
        if (found == state_.cells_.end() || found->second.since != reset.base ||
            found->second.challenged_at != reset.challenge)
            return {result_code::rejected_stale_base};
        if (reset.challenge == no_epoch || found->second.beat_at > reset.challenge)
            return {result_code::rejected_no_majority};
        if (!may_vote(reset.session, reset.cell))
            return {result_code::rejected_unknown_name};
        found->second.since = at_;
        found->second.reset_at = at_;
        found->second.voters = {reset.session};
        return {result_code::ok, 1};
    }

    fold_outcome operator()(const configuration_publish& publish)
    {
        if (publish.expected_version != state_.version_)
            return {result_code::configuration_lost_race};
        auto parsed = parse_configuration(publish.documents);
        auto* accepted = std::get_if<configuration>(&parsed);
        if (accepted == nullptr)
            return {result_code::rejected_malformed};
        if (!keeps_identities(*accepted))
            return {result_code::rejected_limit};
        state_.settings_ = std::move(*accepted);
        state_.documents_ = publish.documents;
        ++state_.version_;
        state_.configured_at_ = at_;
        intern_names();
        state_.index_settings();
        release_from_lost();
        return {result_code::ok, 1};
    }

    fold_outcome operator()(const slot_move& move)
    {
        if (number(move.service) >= state_.services_.size())
            return {result_code::rejected_unknown_name};
        fold_outcome outcome{result_code::rejected_stale_base, 0};
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

    fold_outcome operator()(const key_move& move)
    {
        if (number(move.service) >= state_.services_.size() ||
            state_.services_[number(move.service)].slots.empty())
            return {result_code::rejected_unknown_name};
        const key_ref key{move.service, move.key};
        const auto found = state_.hot_keys_.find(key);
        const slot_state& present = state_.ownership(move.service, move.key);
        if (present.since != move.base)
            return {result_code::rejected_stale_base};
        if (!present.released())
            return {result_code::rejected_moving};
        if (found != state_.hot_keys_.end() && move.to == present.owner && drop_settled_exception(key))
            return {result_code::ok, 1};
        if (!serves(move.to, move.service) || move.to == present.owner)
            return {result_code::rejected_unknown_name};
        if (found == state_.hot_keys_.end() &&
            state_.hot_keys_.size() >= state_.settings_.deployment.hot_keys)
            return {result_code::rejected_limit};
        const slot_state next{at_, move.to, owner_to_wait_for(present.owner)};
        state_.hot_keys_[key] = next;
        drop_settled_exception(key);
        return {result_code::ok, 1};
    }

    fold_outcome operator()(const slots_released& released)
    {
        if (number(released.service) >= state_.services_.size())
            return {result_code::rejected_unknown_name};
        auto& slots = state_.services_[number(released.service)].slots;
        fold_outcome outcome{result_code::rejected_stale_base, 0};
        for (const auto& entry : released.slots) {
            if (number(entry.slot) >= slots.size())
                continue;
            slot_state& slot = slots[number(entry.slot)];
            if (slot.since != entry.since || slot.released())
                continue;
            slot.previous = no_target;
            state_.unreleased_.erase({released.service, entry.slot});
            ++outcome.applied;
        }
        if (outcome.applied > 0)
            outcome.code = result_code::ok;
        return outcome;
    }

    fold_outcome operator()(const key_released& released)
    {
        const key_ref key{released.service, released.key};
        const auto found = state_.hot_keys_.find(key);
        if (found == state_.hot_keys_.end() || found->second.since != released.since ||
            found->second.released())
            return {result_code::rejected_stale_base};
        found->second.previous = no_target;
        drop_settled_exception(key);
        return {result_code::ok, 1};
    }

    fold_outcome operator()(const target_report& report)
    {
        if (number(report.target) >= state_.targets_.size())
            return {result_code::rejected_unknown_name};
        target_state& target = state_.targets_[number(report.target)];
        if (target.reported_at != report.base)
            return {result_code::rejected_stale_base};
        target.reported_at = at_;
        target.condition = report.condition;
        return {result_code::ok, 1};
    }

    fold_outcome operator()(const cell_beat& beat)
    {
        const auto found = state_.cells_.find(beat.cell);
        if (found == state_.cells_.end() || !contains(found->second.voters, author_))
            return {result_code::rejected_unknown_name};
        found->second.beat_at = at_;
        std::erase_if(state_.yields_, [&](const auto& entry) { return entry.first.first == beat.cell; });
        return {result_code::ok, 1};
    }

    fold_outcome operator()(const cell_yield& yield)
    {
        const auto found = state_.cells_.find(yield.cell);
        if (found == state_.cells_.end() || number(yield.service) >= state_.services_.size())
            return {result_code::rejected_unknown_name};
        const auto* service = state_.settings_of(yield.service);
        if (found->second.beat_at != yield.base || yield.base == no_epoch)
            return {result_code::rejected_stale_base};
        if (service == nullptr || service->isolation_grace.count() == 0)
            return {result_code::rejected_limit};
        state_.yields_[{yield.cell, yield.service}] = at_;
        release_from_yielded();
        return {result_code::ok, 1};
    }

private:
    [[nodiscard]] bool may_vote(session_id session, const std::string& cell) const
    {
        const auto found = state_.sessions_.find(session);
        return found != state_.sessions_.end() &&
               cell_name(found->second.description.data_centre, found->second.description.cell) == cell;
    }

    /// A change of a set needs the acknowledgement of its strict majority; an empty set has nobody to ask.
    [[nodiscard]] static bool acknowledged(const cell_state& cell, std::span<const session_id> voters)
    {
        if (cell.voters.empty())
            return true;
        const std::set<session_id> distinct(voters.begin(), voters.end());
        const auto count =
            std::ranges::count_if(distinct, [&](session_id v) { return contains(cell.voters, v); });
        return static_cast<std::size_t>(count) >= majority(cell.voters.size());
    }

    /// @returns whether a target that still owns or holds back a slot is missing in `next`.
    [[nodiscard]] bool drops_owner(const configuration& next) const
    {
        std::vector<bool> missing;
        for (const auto& target : state_.targets_)
            missing.push_back(target.configured);
        for (const auto& target : next.targets) {
            if (const auto known = state_.find_target(target.name))
                missing[number(*known)] = false;
        }
        if (std::ranges::find(missing, true) == missing.end())
            return false;
        const auto held = [&](target_id target) { return target != no_target && missing[number(target)]; };
        const auto keeps = [&](const slot_state& slot) { return held(slot.owner) || held(slot.previous); };
        return std::ranges::any_of(
                   state_.services_,
                   [&](const service_state& s) { return std::ranges::any_of(s.slots, keeps); }) ||
               std::ranges::any_of(state_.hot_keys_, [&](const auto& key) { return keeps(key.second); });
    }

    /// Slots, keyedness, cells, a target's service and its data centre never change under the same name.
    [[nodiscard]] bool keeps_identities(const configuration& next) const
    {
        for (const auto& service : next.services) {
            const auto known = state_.find_service(service.name);
            if (!known)
                continue;
            const auto& present = state_.services_[number(*known)];
            if (present.keyed != service.keyed || (service.keyed && present.slots.size() != service.slots))
                return false;
        }
        for (const auto& data_centre : next.data_centres) {
            const auto* present = state_.settings_.find_data_centre(data_centre.name);
            if (present != nullptr && present->cells != data_centre.cells)
                return false;
        }
        if (drops_owner(next))
            return false;
        return std::ranges::all_of(next.targets, [&](const target_settings& target) {
            const auto known = state_.find_target(target.name);
            if (!known)
                return true;
            const auto& present = state_.targets_[number(*known)];
            return present.data_centre == target.data_centre &&
                   state_.services_[number(present.service)].name == target.service;
        });
    }

    void intern_names()
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
            const target_id fresh{static_cast<std::uint32_t>(state_.targets_.size())};
            const auto [known, added] = state_.target_names_.try_emplace(target.name, fresh);
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

    [[nodiscard]] bool serves(target_id target, service_id service) const
    {
        return number(target) < state_.targets_.size() && state_.targets_[number(target)].configured &&
               state_.targets_[number(target)].service == service;
    }

    /// @returns whether nothing needs to be waited for at an owner.
    [[nodiscard]] bool is_gone(target_id target) const
    {
        if (target == no_target || state_.targets_[number(target)].lost)
            return true;
        const auto service = state_.targets_[number(target)].service;
        return state_.yields_.contains({state_.cell_of(target), service});
    }

    [[nodiscard]] target_id owner_to_wait_for(target_id owner) const
    {
        return is_gone(owner) ? no_target : owner;
    }

    result_code move_slot(service_id service, const slot_assignment& entry)
    {
        auto& slots = state_.services_[number(service)].slots;
        if (number(entry.slot) >= slots.size() || !serves(entry.to, service))
            return result_code::rejected_unknown_name;
        slot_state& slot = slots[number(entry.slot)];
        if ((state_.guards_.base_epoch && slot.since != entry.base) || slot.owner == entry.to)
            return result_code::rejected_stale_base;
        if (state_.guards_.moving && !slot.released())
            return result_code::rejected_moving;
        slot = {at_, entry.to, owner_to_wait_for(slot.owner)};
        if (!slot.released())
            state_.unreleased_.insert({service, entry.slot});
        return result_code::ok;
    }

    /// Removes the exception of a key that is back with the owner of its slot. The slot gets a new epoch, so
    /// that the key's fencing token never falls.
    /// @returns whether it did.
    bool drop_settled_exception(const key_ref& key)
    {
        const auto found = state_.hot_keys_.find(key);
        if (found == state_.hot_keys_.end() || !found->second.released())
            return false;
        const auto slot = state_.slot_of(key.service, key.key);
        slot_state& home = state_.services_[number(key.service)].slots[number(slot)];
        if (!home.released() || home.owner != found->second.owner)
            return false;
        state_.hot_keys_.erase(found);
        home.since = at_;
        return true;
    }

    template <typename Predicate>
    void release_where(Predicate gone)
    {
        std::erase_if(state_.unreleased_, [&](const slot_ref& ref) {
            slot_state& slot = state_.services_[number(ref.service)].slots[number(ref.slot)];
            if (!gone(slot.previous))
                return false;
            slot.previous = no_target;
            return true;
        });
        for (auto& [key, state] : state_.hot_keys_) {
            if (!state.released() && gone(state.previous))
                state.previous = no_target;
        }
    }

    void release_from_lost()
    {
        release_where([&](target_id target) { return state_.targets_[number(target)].lost; });
    }

    void release_from_yielded()
    {
        release_where([&](target_id target) { return is_gone(target); });
    }

    cluster_state& state_;
    epoch at_;
    session_id author_;
};

fold_outcome cluster_state::apply(epoch at, const control_record& record)
{
    if (at <= position_)
        return {result_code::rejected_repeat};
    position_ = at;
    auto& [sequence, last_at] = sequences_[record.session];
    if (guards_.repeats && record.sequence <= sequence)
        return {result_code::rejected_repeat};
    sequence = record.sequence;
    last_at = at;
    if (sequences_.size() > max_remembered_sessions) {
        const auto oldest =
            std::ranges::min_element(sequences_, {}, [](const auto& entry) { return entry.second.second; });
        sequences_.erase(oldest);
    }
    return std::visit(record_folder{*this, at, record.session}, record.body);
}

void cluster_state::skip(epoch at) noexcept
{
    position_ = std::max(position_, at);
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
    const auto found = target_names_.find(name);
    return found == target_names_.end() ? std::nullopt : std::optional{found->second};
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

std::string cluster_state::cell_of(target_id target) const
{
    const auto& entry = targets_[number(target)];
    const auto* data_centre = settings_.find_data_centre(entry.data_centre);
    const std::uint32_t cells = data_centre == nullptr ? 1 : data_centre->cells;
    return cell_name(entry.data_centre, static_cast<std::uint32_t>(rendezvous_rank(entry.name, 0) % cells));
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
      sessions_(other.sessions_), cells_(other.cells_), services_(other.services_), targets_(other.targets_),
      hot_keys_(other.hot_keys_), unreleased_(other.unreleased_), yields_(other.yields_),
      sequences_(other.sequences_), target_names_(other.target_names_)
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
           sessions_ == other.sessions_ && cells_ == other.cells_ && services_ == other.services_ &&
           targets_ == other.targets_ && hot_keys_ == other.hot_keys_ && unreleased_ == other.unreleased_ &&
           yields_ == other.yields_ && sequences_ == other.sequences_;
}

std::string cell_name(std::string_view data_centre, std::uint32_t index)
{
    return std::string{data_centre} + "/" + std::to_string(index);
}

} // namespace teaseltally
