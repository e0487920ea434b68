#include <teaseltally/net/request_router.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Cost of sending a request to another data centre, as a share of the target latency of its route.
constexpr double data_centre_crossing_share = 0.5;
/// Share of the connection limit of a service that all instances together use.
constexpr double connection_cap_share = 0.8;
/// Time before a request is sent again to a target that refused it as misdirected or was unreachable.
constexpr milliseconds misdirected_retry_delay{150};
/// Connection limit of a service without settings.
constexpr double default_connection_cap = 64;
/// Factor on the cost of a target that the request was already sent to.
constexpr double tried_target_cost_factor = 3;

} // namespace

std::string request_router::choose_backend(const routed_request& request)
{
    const auto& backends = request.matched_route->backends;
    if (backends.size() == 1)
        return backends.front().service;
    auto& credits = backend_credits_[request.matched_route->name];
    credits.resize(backends.size());
    double total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < backends.size(); ++index) {
        credits[index] += backends[index].weight;
        total += backends[index].weight;
        if (credits[index] > credits[best])
            best = index;
    }
    credits[best] -= total;
    return backends[best].service;
}

std::shared_ptr<target_node> request_router::owner_of(const routed_request& request, bool granted) const
{
    auto owner = recorded_owner_of(request, granted);
    return owner && owner->is_usable_owner(boot_clock::now()) ? owner : nullptr;
}

const owned_range* request_router::range_of(const routed_request& request) const
{
    const auto* owners = ownership_ == nullptr ? nullptr : ownership_->find(request.service);
    return owners == nullptr ? nullptr : owners->find(*request.key);
}

bool request_router::is_granted(const std::string& service, const owned_range& range, time_point now) const
{
    if (!range_refusals_.may_send({service, range.keys.first, range.fence}, now))
        return false;
    // A range that lists former owners has not been granted to its new owner yet.
    if (range.former_owners.empty())
        return true;
    if (const auto expired_at = former_grants_end(*ownership_, range))
        return now >= *expired_at;
    return now - ownership_->latest_reassignment_time(range, range.former_owners.back()) >= max_grant_delay;
}

std::shared_ptr<target_node> request_router::recorded_owner_of(const routed_request& request,
                                                               bool granted) const
{
    const auto* range = range_of(request);
    if (range == nullptr || (granted && !is_granted(request.service, *range, boot_clock::now())))
        return nullptr;
    const auto found = targets_.find(range->owner.id);
    if (found == targets_.end() || found->second->entry().service != request.service)
        return nullptr;
    return found->second;
}

bool request_router::may_send_to_owner(const routed_request& request, const target_node& owner) const
{
    if (request.attempts.empty())
        return true;
    const auto& last = *request.attempts.back();
    const bool refused = last.result.status == exchange_status::misdirected || !last.result.connected;
    return last.target.get() != &owner || !refused ||
           boot_clock::now() - last.ended_at > misdirected_retry_delay;
}

bool request_router::has_capacity(target_node& node, bool keyed) const
{
    const auto now = boot_clock::now();
    auto& load = node.load();
    if (!node.statements().may_send(now))
        return false;
    return keyed ? load.has_room_in_share(now, instance_count_) : load.usable(now) && load.has_room(now);
}

std::shared_ptr<target_node> request_router::choose_target(const routed_request& request,
                                                           service_state& state)
{
    if (request.key) {
        auto owner = owner_of(request);
        const bool usable = owner && has_capacity(*owner, true) && may_send_to_owner(request, *owner) &&
                            may_get_permit(request, *owner, boot_clock::now());
        return usable ? owner : nullptr;
    }
    const bool is_first_waiting = state.waiting.empty() || state.waiting.front() == &request;
    if (!is_first_waiting && request.sends == 0)
        return nullptr;
    const auto now = boot_clock::now();
    const microseconds crossing_cost{static_cast<std::int64_t>(
        static_cast<double>(microseconds{request.matched_route->target_latency}.count()) *
        data_centre_crossing_share)};
    std::shared_ptr<target_node> best;
    double best_cost = 0;
    bool best_is_cold = false;
    std::uniform_real_distribution<double> cost_jitter(0.95, 1.05);
    const auto connections = connection_limit(request.service);
    for (const auto& node : state.targets) {
        if (!node->is_usable() || !has_capacity(*node, false) || !node->may_acquire(connections) ||
            !may_get_permit(request, *node, now))
            continue;
        const bool already_tried = std::ranges::any_of(
            request.attempts, [&](const auto& attempt) { return attempt->target == node; });
        auto expected = node->load().expected_latency(now);
        if (node->entry().data_centre != settings_.data_centre)
            expected += crossing_cost;
        const double cost = static_cast<double>(expected.count()) * cost_jitter(random_) *
                            (already_tried ? tried_target_cost_factor : 1);
        const bool cold = is_cold(*node);
        if (!best || (cold == best_is_cold ? cost < best_cost : best_is_cold)) {
            best = node;
            best_cost = cost;
            best_is_cold = cold;
        }
    }
    return best;
}

unsigned request_router::connection_limit(const std::string& service) const
{
    const auto* rules = table_->find_service(service);
    const double connection_cap = rules == nullptr ? default_connection_cap : rules->max_connections;
    return std::max(2U, static_cast<unsigned>(connection_cap * connection_cap_share / instance_count_));
}

} // namespace teaseltally
