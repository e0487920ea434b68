#include <teaseltally/count_guard.hpp>
#include <teaseltally/net/dispatcher.hpp>

#include <teaseltally/json.hpp>
#include <teaseltally/log_line.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Time limit for sending start marks to another instance.
constexpr milliseconds mark_copy_timeout{250};
/// Time limit for reading the start marks of another instance.
constexpr milliseconds mark_collect_timeout{800};
/// Minimum time between two searches for an instance that keeps copies of the start marks.
constexpr milliseconds backup_retry_interval{500};

Json::Value mark_json(const start_mark& mark)
{
    Json::Value out;
    out["service"] = number(mark.key.service);
    out["key"] = mark.key.key;
    out["fingerprint"] = to_json(mark.fingerprint);
    out["remaining_ms"] = to_json(mark.remaining.count());
    if (mark.answer) {
        out["answer"]["status"] = mark.answer->status;
        out["answer"]["content_type"] = mark.answer->content_type;
        out["answer"]["body"] = mark.answer->body;
    }
    return out;
}

std::optional<start_mark> parse_mark(const Json::Value& value)
{
    json_reader reader(value, "mark");
    start_mark mark;
    mark.key = {reader.id<service_id>("service"), reader.string_at("key")};
    mark.fingerprint = reader.unsigned_at("fingerprint");
    mark.remaining = milliseconds{reader.unsigned_at("remaining_ms")};
    if (reader.first_error() != nullptr)
        return std::nullopt;
    if (value.isMember("answer")) {
        json_reader answer(value["answer"], "mark answer");
        mark.answer = stored_response{static_cast<unsigned>(answer.unsigned_at("status")),
                                      answer.string_at("content_type"), answer.string_at("body")};
        if (answer.first_error() != nullptr)
            return std::nullopt;
    }
    return mark;
}

stored_response to_stored(const http_response& response)
{
    return {response.result_int(), std::string{response[http::field::content_type]}, response.body()};
}

request_outcome from_stored(const stored_response& answer)
{
    return {result_code::done, make_response(answer.status, answer.body, answer.content_type), {}, {}};
}

} // namespace

/// Releases a slot of a target on destruction and admits the next waiting requests.
class dispatcher::slot_guard {
public:
    slot_guard(dispatcher& owner, target_id target)
        : dispatcher_(owner), target_(target), acquired_at_(boot_clock::now())
    {
    }
    ~slot_guard()
    {
        const auto found = dispatcher_.dispatched_targets_.find(target_);
        if (found == dispatcher_.dispatched_targets_.end())
            return;
        const auto now = boot_clock::now();
        if (used_)
            found->second.queue.release_slot(now - acquired_at_, refused_, now);
        else
            found->second.queue.release_unused_slot();
        dispatcher_.admit_waiting(target_);
    }
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;
    slot_guard(slot_guard&&) = delete;
    slot_guard& operator=(slot_guard&&) = delete;

    /// Records that the request was sent to the target.
    /// @param refused whether the target refused it.
    void used(bool refused)
    {
        used_ = true;
        refused_ = refused;
    }

private:
    dispatcher& dispatcher_;
    target_id target_;
    time_point acquired_at_;
    bool used_ = false;
    bool refused_ = false;
};

admission_limits dispatcher::limits_of(target_id target) const
{
    const auto& state = context_.local_coordinator.state();
    const auto* settings = state.settings_of(target);
    const auto* service = state.settings_of(state.targets()[number(target)].service);
    if (settings == nullptr || service == nullptr)
        return {};
    return {std::min(settings->slots, settings->connections), service->queue, !service->keyed};
}

void dispatcher::start_dispatching(const dispatcher_action& lease_change)
{
    const auto [target, token] = std::pair{lease_change.target, lease_change.token};
    const auto* settings = context_.local_coordinator.state().settings_of(target);
    if (settings == nullptr)
        return;
    const auto address = parse_endpoint(settings->address);
    if (const auto* address_error = failure(address)) {
        context_.log(log_line("target_address")
                         .add("target", settings->name)
                         .add("problem", address_error->message)
                         .text());
        return;
    }
    stop_dispatching(target);
    dispatched_target dispatched(limits_of(target));
    dispatched.token = token;
    dispatched.link = std::make_shared<target_link>(context_, target, token, std::get<tcp_endpoint>(address));
    dispatched.link->start();
    dispatched_targets_.emplace(target, std::move(dispatched));
    asio::co_spawn(context_.executor, collect_marks(lease_change), asio::detached);
}

void dispatcher::stop_dispatching(target_id target)
{
    const auto found = dispatched_targets_.find(target);
    if (found == dispatched_targets_.end())
        return;
    found->second.link->stop();
    for (auto& [id, waiting] : found->second.waiters)
        waiting->timer.cancel();
    dispatched_targets_.erase(found);
    backups_.erase(target);
}

void dispatcher::tick(time_point now)
{
    for (auto& [target, dispatched] : dispatched_targets_) {
        dispatched.queue.set_limits(limits_of(target));
        if (dispatched.link->is_up() && !std::exchange(dispatched.was_up, dispatched.link->is_up()))
            dispatched.queue.slow_start();
        dispatched.was_up = dispatched.link->is_up();
        const auto backup = backups_.find(target);
        const bool no_backup =
            backup == backups_.end() || !context_.local_coordinator.is_reachable(backup->second, now);
        if (no_backup && dispatched.marks_collected &&
            now >= dispatched.backup_search_at + backup_retry_interval) {
            dispatched.backup_search_at = now;
            backups_.erase(target);
            asio::co_spawn(context_.executor, replicate_table(target), asio::detached);
        }
        for (const admission_id id : dispatched.queue.remove_expired(now)) {
            if (const auto waiting = dispatched.waiters.find(id); waiting != dispatched.waiters.end()) {
                waiting->second->timer.cancel();
                dispatched.waiters.erase(waiting);
            }
        }
    }
}

std::pair<std::uint32_t, std::size_t> dispatcher::usage(target_id target) const
{
    const auto found = dispatched_targets_.find(target);
    if (found == dispatched_targets_.end())
        return {};
    return {found->second.queue.running(), found->second.queue.waiting()};
}

void dispatcher::admit_waiting(target_id target)
{
    const auto found = dispatched_targets_.find(target);
    if (found == dispatched_targets_.end())
        return;
    auto& dispatched = found->second;
    while (const auto next = dispatched.queue.start_next(boot_clock::now())) {
        const auto waiting = dispatched.waiters.find(*next);
        if (waiting == dispatched.waiters.end()) {
            dispatched.queue.release_unused_slot();
            continue;
        }
        waiting->second->admitted = true;
        waiting->second->timer.cancel();
        dispatched.waiters.erase(waiting);
    }
}

/// Waits for a slot of the target.
/// @returns nothing once a slot is acquired, otherwise the outcome of the request.
asio::awaitable<std::optional<request_outcome>> dispatcher::admit(const request_task& task)
{
    const auto found = dispatched_targets_.find(task.target);
    if (found == dispatched_targets_.end())
        co_return request_outcome{result_code::not_run_not_dispatcher, {}, {}, {}};
    const auto* service = context_.local_coordinator.state().settings_of(task.service);
    const work_priority priority = service == nullptr ? work_priority::prompt : service->priority;
    const auto decision = found->second.queue.admit(priority, task.deadline, boot_clock::now());
    if (std::holds_alternative<admitted>(decision))
        co_return std::nullopt;
    if (const auto* rejection = std::get_if<shed>(&decision))
        co_return request_outcome{result_code::not_run_overloaded, {}, {}, rejection->retry_after};
    const auto id = std::get<queued>(decision).id;
    const auto waiting = std::make_shared<waiter>(context_.executor);
    const microseconds max_wait = task.deadline - found->second.queue.mean_service_time() - boot_clock::now();
    waiting->timer.expires_after(std::max<microseconds>(max_wait, microseconds{0}));
    found->second.waiters[id] = waiting;
    try {
        co_await waiting->timer.async_wait(as_result);
    }
    catch (const boost::system::system_error&) {
        waiting->admitted = false;
    }
    if (waiting->admitted)
        co_return std::nullopt;
    if (const auto dispatched = dispatched_targets_.find(task.target);
        dispatched != dispatched_targets_.end()) {
        dispatched->second.queue.cancel(id);
        dispatched->second.waiters.erase(id);
        co_return request_outcome{result_code::not_run_deadline,
                                  {},
                                  {},
                                  dispatched->second.queue.mean_service_time() > microseconds{0}
                                      ? milliseconds{10}
                                      : milliseconds{1}};
    }
    co_return request_outcome{result_code::not_run_not_dispatcher, {}, {}, {}};
}

asio::awaitable<request_outcome> dispatcher::run_admitted(const request_task& task)
{
    if (auto rejection = co_await admit(task))
        co_return std::move(*rejection);
    slot_guard slot(*this, task.target);
    const auto found = dispatched_targets_.find(task.target);
    if (found == dispatched_targets_.end())
        co_return request_outcome{result_code::not_run_not_dispatcher, {}, {}, {}};
    const auto link = found->second.link;
    auto result = co_await link->dispatch(task);
    const bool refused = result.code == result_code::not_run_target_refused;
    if (refused || class_of(result.code) != result_class::not_run)
        slot.used(refused);
    co_return result;
}

asio::awaitable<request_outcome> dispatcher::run(request_task task)
{
    const count_guard counted(active_requests_);
    const auto& local_coordinator = context_.local_coordinator;
    const auto now = boot_clock::now();
    const auto& deployment = local_coordinator.state().settings().deployment;
    if (context_.quarantine.is_quarantined(task.fingerprint, deployment.crashes_to_quarantine, now))
        co_return request_outcome{result_code::refused_quarantined, {}, {}, deployment.quarantine};
    const dispatch_request requested{task.target,       task.service,  task.key,
                                     task.min_position, task.deadline, !task.idempotency_key.empty()};
    const auto refusal = local_coordinator.check(requested, now);
    const bool draining = refusal && refusal->code == result_code::not_run_draining;
    if (refusal && !(draining && !task.idempotency_key.empty() && !task.idempotency_checked))
        co_return request_outcome{refusal->code, {}, refusal->suggested_dispatcher, {}};
    if (task.idempotency_key.empty() || task.idempotency_checked)
        co_return co_await run_admitted(task);
    co_return co_await run_idempotent(std::move(task));
}

/// Executes a request with an idempotency key at most once within the time window of its start mark.
asio::awaitable<request_outcome> dispatcher::run_idempotent(request_task task)
{
    const auto dispatched = dispatched_targets_.find(task.target);
    if (dispatched == dispatched_targets_.end() || !dispatched->second.marks_collected)
        co_return request_outcome{
            result_code::not_run_behind, {}, context_.local_coordinator.settings().session, {}};
    const auto now = boot_clock::now();
    const scoped_idempotency_key key{task.service, task.idempotency_key};
    auto& marks = *mark_store_of(task.target).table;
    const bool uncertain =
        !dispatched->second.marks_complete && now < dispatched->second.marks_uncertain_until;
    if (uncertain && !marks.find(key, now))
        co_return request_outcome{result_code::unknown_predecessor, {}, {}, {}};
    const auto decision = marks.try_start(key, task.fingerprint, now);
    if (const auto* refused = std::get_if<refuse_request>(&decision))
        co_return request_outcome{refused->code, {}, {}, {}};
    if (const auto* duplicate = std::get_if<replay_response>(&decision))
        co_return from_stored(duplicate->answer);
    const std::pair run_key{task.target, key};
    std::shared_ptr<shared_run> run;
    if (std::holds_alternative<join_run>(decision)) {
        const auto running = shared_runs_.find(run_key);
        if (running == shared_runs_.end())
            co_return request_outcome{result_code::unknown_predecessor, {}, {}, {}};
        run = running->second;
    }
    else {
        run = std::make_shared<shared_run>(context_.executor);
        shared_runs_[run_key] = run;
        asio::co_spawn(context_.executor, run_once(task),
                       [this, run, run_key](std::exception_ptr, request_outcome result) {
                           run->result = std::move(result);
                           run->timer.cancel();
                           shared_runs_.erase(run_key);
                       });
    }
    run->timer.expires_after(std::max<microseconds>(task.deadline - now, milliseconds{1}));
    while (!run->result && boot_clock::now() < task.deadline)
        co_await run->timer.async_wait(as_result);
    co_return run->result ? *run->result : request_outcome{result_code::unknown_deadline, {}, {}, {}};
}

/// Executes a request with an idempotency key after it has been marked as started. The execution continues if
/// the caller disconnects.
asio::awaitable<request_outcome> dispatcher::run_once(request_task task)
{
    const count_guard counted(active_requests_);
    const scoped_idempotency_key key{task.service, task.idempotency_key};
    const target_id home = task.target;
    if (!co_await replicate_mark(home, key)) {
        mark_store_of(home).table->cancel(key);
        co_return request_outcome{result_code::not_run_busy_key, {}, {}, milliseconds{10}};
    }
    auto result = co_await run_admitted(task);
    if (class_of(result.code) == result_class::not_run && fallback_handler_ &&
        !context_.local_coordinator.state().services()[number(task.service)].keyed)
        result = co_await fallback_handler_(task);
    auto& marks = *mark_store_of(home).table;
    if (result.code == result_code::done) {
        marks.record_response(key, to_stored(result.response), boot_clock::now());
        asio::co_spawn(context_.executor, replicate_answer(home, key), asio::detached);
    }
    else if (class_of(result.code) == result_class::unknown)
        marks.record_unknown_outcome(key);
    else
        marks.cancel(key);
    co_return result;
}

dispatcher::mark_store& dispatcher::mark_store_of(target_id target)
{
    auto& found = mark_stores_[target];
    if (!found.table) {
        idempotency_limits limits;
        limits.window = context_.local_coordinator.state().settings().deployment.mark_window;
        found.table = std::make_unique<idempotency_table>(limits);
    }
    return found;
}

std::vector<session_id> dispatcher::voter_group_peers(target_id target) const
{
    const auto& state = context_.local_coordinator.state();
    const auto group = state.voter_groups().find(state.voter_group_of(target));
    std::vector<session_id> peers;
    if (group == state.voter_groups().end())
        return peers;
    const auto now = boot_clock::now();
    for (const session_id voter : group->second.voters) {
        if (voter != context_.local_coordinator.settings().session &&
            context_.local_coordinator.is_reachable(voter, now))
            peers.push_back(voter);
    }
    const std::string& name = state.targets()[number(target)].name;
    std::ranges::sort(peers, std::greater<>{},
                      [&](session_id s) { return rendezvous_rank(name, number(s)); });
    return peers;
}

Json::Value dispatcher::mark_message(target_id target, std::span<const start_mark> marks,
                                     bool full_table) const
{
    const auto dispatched = dispatched_targets_.find(target);
    Json::Value out;
    out["target"] = number(target);
    out["term"] =
        to_json(dispatched == dispatched_targets_.end() ? 0 : number(dispatched->second.token.term));
    out["whole"] = full_table;
    out["complete"] = dispatched != dispatched_targets_.end() && dispatched->second.marks_complete;
    out["marks"] = Json::Value{Json::arrayValue};
    for (const auto& mark : marks)
        out["marks"].append(mark_json(mark));
    return out;
}

/// Copies a start mark to the backup, another voter of the target's voter group. Copies all marks if the
/// backup is new or there is no mark of the key.
/// @returns whether the backup stored the copy; also true if no other voter is reachable.
asio::awaitable<bool> dispatcher::replicate_mark(target_id target, const scoped_idempotency_key& key)
{
    const auto peers = voter_group_peers(target);
    if (peers.empty())
        co_return true;
    const auto known = backups_.find(target);
    const bool backup_known =
        known != backups_.end() && std::ranges::find(peers, known->second) != peers.end();
    const session_id backup = backup_known ? known->second : peers.front();
    const auto now = boot_clock::now();
    auto& marks = *mark_store_of(target).table;
    const auto current_mark = marks.find(key, now);
    std::vector<start_mark> sent =
        backup_known && current_mark ? std::vector{*current_mark} : marks.marks(now);
    const auto address = peer_endpoint(context_.local_coordinator.state(), backup);
    if (!address)
        co_return false;
    auto outcome = co_await context_.peer_client.exchange(
        *address,
        make_request(http::verb::post, "/peer/marks", json_text(mark_message(target, sent, !backup_known))),
        now + mark_copy_timeout);
    const auto* response = std::get_if<http_response>(&outcome);
    if (response == nullptr || response->result_int() != 200) {
        backups_.erase(target);
        co_return false;
    }
    backups_[target] = backup;
    co_return true;
}

asio::awaitable<void> dispatcher::replicate_answer(target_id target, scoped_idempotency_key key)
{
    co_await replicate_mark(target, key);
}

void dispatcher::import_marks(const Json::Value& message, time_point now)
{
    json_reader reader(message, "marks");
    const auto target = reader.id<target_id>("target");
    const auto mark_term = reader.id<term>("term");
    const bool full_table = reader.bool_at("whole");
    const bool complete = reader.bool_at("complete");
    const auto& marks = reader.array_at("marks");
    if (reader.first_error() != nullptr)
        return;
    auto& known = mark_store_of(target);
    if (full_table) {
        known.mark_term = std::max(known.mark_term, mark_term);
        known.complete = complete;
    }
    for (const auto& value : marks) {
        if (const auto mark = parse_mark(value))
            known.table->import_mark(*mark, now);
    }
}

Json::Value dispatcher::export_marks(target_id target, time_point now) const
{
    Json::Value out = mark_message(target, {}, true);
    const auto known = mark_stores_.find(target);
    if (known == mark_stores_.end())
        return out;
    const auto dispatched = dispatched_targets_.find(target);
    const bool own = dispatched != dispatched_targets_.end();
    out["term"] = to_json(own ? number(dispatched->second.token.term) : number(known->second.mark_term));
    out["complete"] = own ? dispatched->second.marks_complete : known->second.complete;
    for (const auto& mark : known->second.table->marks(now))
        out["marks"].append(mark_json(mark));
    return out;
}

/// Collects the start marks of earlier dispatchers and determines whether they are complete. They are
/// complete if this is the first term, or if an instance has all marks of the previous dispatcher.
asio::awaitable<void> dispatcher::collect_marks(dispatcher_action lease_change)
{
    const target_id target = lease_change.target;
    const dispatcher_token token = lease_change.token;
    const auto& state = context_.local_coordinator.state();
    const auto group = state.voter_groups().find(state.voter_group_of(target));
    const bool first_term =
        number(token.term) == 1 && group != state.voter_groups().end() && group->second.reset_at == no_epoch;
    const auto follows = [&](term mark_term) {
        return number(mark_term) + 1 >= number(token.term) ||
               (lease_change.predecessor_term && mark_term >= *lease_change.predecessor_term);
    };
    auto& own = mark_store_of(target);
    bool complete = first_term || (own.complete && follows(own.mark_term));
    for (const session_id peer : voter_group_peers(target)) {
        const auto address = peer_endpoint(state, peer);
        if (!address || first_term)
            continue;
        auto outcome = co_await context_.peer_client.exchange(
            *address, make_request(http::verb::get, "/peer/marks?target=" + std::to_string(number(target))),
            boot_clock::now() + mark_collect_timeout);
        const auto* response = std::get_if<http_response>(&outcome);
        if (response == nullptr || response->result_int() != 200)
            continue;
        const auto parsed = parse_json(response->body(), "marks");
        if (failure(parsed) != nullptr)
            continue;
        const auto& message = std::get<Json::Value>(parsed);
        json_reader reader(message, "marks");
        if (reader.bool_at("complete") && follows(reader.id<term>("term")) && reader.first_error() == nullptr)
            complete = true;
        for (const auto& value : reader.array_at("marks")) {
            if (const auto mark = parse_mark(value))
                own.table->import_mark(*mark, boot_clock::now());
        }
    }
    const auto dispatched = dispatched_targets_.find(target);
    if (dispatched == dispatched_targets_.end() || dispatched->second.token != token)
        co_return;
    dispatched->second.marks_collected = true;
    dispatched->second.marks_complete = complete;
    dispatched->second.marks_uncertain_until = boot_clock::now() + state.settings().deployment.mark_window;
    own.mark_term = token.term;
    own.complete = complete;
    co_await replicate_table(target);
}

/// Copies all start marks to another voter of the target's voter group.
asio::awaitable<void> dispatcher::replicate_table(target_id target)
{
    const scoped_idempotency_key none;
    co_await replicate_mark(target, none);
}

void dispatcher::revoke(const revoke_action& action)
{
    const auto found = dispatched_targets_.find(action.target);
    if (found != dispatched_targets_.end())
        asio::co_spawn(context_.executor, found->second.link->revoke(action.entries), asio::detached);
}

} // namespace teaseltally
