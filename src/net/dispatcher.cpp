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
constexpr milliseconds mark_copy_limit{250};
constexpr milliseconds mark_collect_limit{800};
constexpr milliseconds backup_interval{500};

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

std::optional<start_mark> read_mark(const Json::Value& value)
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

work_result from_stored(const stored_response& answer)
{
    return {result_code::done, make_response(answer.status, answer.body, answer.content_type), {}, {}};
}

} // namespace

/// Gives a target's slot back and lets the next request run.
class dispatcher::slot_guard {
public:
    slot_guard(dispatcher& owner, target_id target)
        : owner_(owner), target_(target), since_(boot_clock::now())
    {
    }
    ~slot_guard()
    {
        const auto found = owner_.desks_.find(target_);
        if (found == owner_.desks_.end())
            return;
        const auto now = boot_clock::now();
        if (used_)
            found->second.queue.release_slot(now - since_, refused_, now);
        else
            found->second.queue.release_unused_slot();
        owner_.pump(target_);
    }
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;
    slot_guard(slot_guard&&) = delete;
    slot_guard& operator=(slot_guard&&) = delete;

    void used(bool refused)
    {
        used_ = true;
        refused_ = refused;
    }

private:
    dispatcher& owner_;
    target_id target_;
    time_point since_;
    bool used_ = false;
    bool refused_ = false;
};

admission_limits dispatcher::limits_of(target_id target) const
{
    const auto& state = context_.decisions.state();
    const auto* settings = state.settings_of(target);
    const auto* service = state.settings_of(state.targets()[number(target)].service);
    if (settings == nullptr || service == nullptr)
        return {};
    return {std::min(settings->slots, settings->connections), service->queue, !service->keyed};
}

void dispatcher::held(const dispatcher_action& right)
{
    const auto [target, token] = std::pair{right.target, right.token};
    const auto* settings = context_.decisions.state().settings_of(target);
    if (settings == nullptr)
        return;
    const auto address = parse_endpoint(settings->address);
    if (const auto* problem = failure(address)) {
        context_.log(
            log_line("target_address").add("target", settings->name).add("problem", problem->message).text());
        return;
    }
    lost(target);
    target_desk desk(limits_of(target));
    desk.token = token;
    desk.link = std::make_shared<target_link>(context_, target, token, std::get<tcp_endpoint>(address));
    desk.link->start();
    desks_.emplace(target, std::move(desk));
    asio::co_spawn(context_.executor, settle_marks(right), asio::detached);
}

void dispatcher::lost(target_id target)
{
    const auto found = desks_.find(target);
    if (found == desks_.end())
        return;
    found->second.link->stop();
    for (auto& [id, waiting] : found->second.waiters)
        waiting->timer.cancel();
    desks_.erase(found);
    backups_.erase(target);
}

void dispatcher::tick(time_point now)
{
    for (auto& [target, desk] : desks_) {
        desk.queue.set_limits(limits_of(target));
        if (desk.link->up() && !std::exchange(desk.was_up, desk.link->up()))
            desk.queue.slow_start();
        desk.was_up = desk.link->up();
        const auto backup = backups_.find(target);
        const bool alone = backup == backups_.end() || !context_.decisions.is_reachable(backup->second, now);
        if (alone && desk.marks_settled && now >= desk.backup_sought_at + backup_interval) {
            desk.backup_sought_at = now;
            backups_.erase(target);
            asio::co_spawn(context_.executor, find_backup(target), asio::detached);
        }
        for (const admission_id id : desk.queue.remove_expired(now)) {
            if (const auto waiting = desk.waiters.find(id); waiting != desk.waiters.end()) {
                waiting->second->timer.cancel();
                desk.waiters.erase(waiting);
            }
        }
    }
}

std::pair<std::uint32_t, std::size_t> dispatcher::usage(target_id target) const
{
    const auto found = desks_.find(target);
    if (found == desks_.end())
        return {};
    return {found->second.queue.running(), found->second.queue.waiting()};
}

void dispatcher::pump(target_id target)
{
    const auto found = desks_.find(target);
    if (found == desks_.end())
        return;
    auto& desk = found->second;
    while (const auto next = desk.queue.start_next(boot_clock::now())) {
        const auto waiting = desk.waiters.find(*next);
        if (waiting == desk.waiters.end()) {
            desk.queue.release_unused_slot();
            continue;
        }
        waiting->second->admitted = true;
        waiting->second->timer.cancel();
        desk.waiters.erase(waiting);
    }
}

/// Waits for a slot.
/// @returns nothing once admitted, else the result to give.
asio::awaitable<std::optional<work_result>> dispatcher::admit(const work_order& order)
{
    const auto found = desks_.find(order.target);
    if (found == desks_.end())
        co_return work_result{result_code::not_run_not_dispatcher, {}, {}, {}};
    const auto* service = context_.decisions.state().settings_of(order.service);
    const work_priority priority = service == nullptr ? work_priority::prompt : service->priority;
    const auto verdict = found->second.queue.admit(priority, order.deadline, boot_clock::now());
    if (std::holds_alternative<admitted>(verdict))
        co_return std::nullopt;
    if (const auto* turned_away = std::get_if<shed>(&verdict))
        co_return work_result{result_code::not_run_overloaded, {}, {}, turned_away->retry_after};
    const auto id = std::get<queued>(verdict).id;
    const auto waiting = std::make_shared<waiter>(context_.executor);
    const microseconds patience =
        order.deadline - found->second.queue.mean_service_time() - boot_clock::now();
    waiting->timer.expires_after(std::max<microseconds>(patience, microseconds{0}));
    found->second.waiters[id] = waiting;
    try {
        co_await waiting->timer.async_wait(as_result);
    }
    catch (const boost::system::system_error&) {
        waiting->admitted = false;
    }
    if (waiting->admitted)
        co_return std::nullopt;
    if (const auto desk = desks_.find(order.target); desk != desks_.end()) {
        desk->second.queue.cancel(id);
        desk->second.waiters.erase(id);
        co_return work_result{result_code::not_run_deadline,
                              {},
                              {},
                              desk->second.queue.mean_service_time() > microseconds{0} ? milliseconds{10}
                                                                                       : milliseconds{1}};
    }
    co_return work_result{result_code::not_run_not_dispatcher, {}, {}, {}};
}

asio::awaitable<work_result> dispatcher::run_admitted(const work_order& order)
{
    if (auto turned_away = co_await admit(order))
        co_return std::move(*turned_away);
    slot_guard slot(*this, order.target);
    const auto found = desks_.find(order.target);
    if (found == desks_.end())
        co_return work_result{result_code::not_run_not_dispatcher, {}, {}, {}};
    const auto link = found->second.link;
    auto result = co_await link->run(order);
    const bool refused = result.code == result_code::not_run_target_refused;
    if (refused || class_of(result.code) != result_class::not_run)
        slot.used(refused);
    co_return result;
}

asio::awaitable<work_result> dispatcher::run(work_order order)
{
    const count_guard counted(at_work_);
    const auto& decisions = context_.decisions;
    const auto now = boot_clock::now();
    const auto& deployment = decisions.state().settings().deployment;
    if (context_.quarantine.is_quarantined(order.fingerprint, deployment.crashes_to_quarantine, now))
        co_return work_result{result_code::refused_quarantined, {}, {}, deployment.quarantine};
    const dispatch_request wanted{order.target,    order.service,  order.key,
                                  order.relied_on, order.deadline, !order.idempotency_key.empty()};
    const auto refusal = decisions.check(wanted, now);
    const bool homeless = refusal && refusal->code == result_code::not_run_draining;
    if (refusal && !(homeless && !order.idempotency_key.empty() && !order.marked))
        co_return work_result{refusal->code, {}, refusal->suggested_dispatcher, {}};
    if (order.idempotency_key.empty() || order.marked)
        co_return co_await run_admitted(order);
    co_return co_await run_keyed(std::move(order));
}

/// Runs a request with an idempotency key at most once within the window.
asio::awaitable<work_result> dispatcher::run_keyed(work_order order)
{
    const auto desk = desks_.find(order.target);
    if (desk == desks_.end() || !desk->second.marks_settled)
        co_return work_result{result_code::not_run_behind, {}, context_.decisions.settings().session, {}};
    const auto now = boot_clock::now();
    const scoped_idempotency_key key{order.service, order.idempotency_key};
    auto& marks = *book(order.target).table;
    const bool doubtful = !desk->second.marks_complete && now < desk->second.marks_doubtful_until;
    if (doubtful && !marks.find(key, now))
        co_return work_result{result_code::unknown_predecessor, {}, {}, {}};
    const auto verdict = marks.try_start(key, order.fingerprint, now);
    if (const auto* refused = std::get_if<refuse_request>(&verdict))
        co_return work_result{refused->code, {}, {}, {}};
    if (const auto* repeat = std::get_if<replay_response>(&verdict))
        co_return from_stored(repeat->answer);
    const std::pair place{order.target, key};
    std::shared_ptr<joined_run> run;
    if (std::holds_alternative<join_run>(verdict)) {
        const auto running = runs_.find(place);
        if (running == runs_.end())
            co_return work_result{result_code::unknown_predecessor, {}, {}, {}};
        run = running->second;
    }
    else {
        run = std::make_shared<joined_run>(context_.executor);
        runs_[place] = run;
        asio::co_spawn(context_.executor, run_once(order),
                       [this, run, place](std::exception_ptr, work_result result) {
                           run->result = std::move(result);
                           run->timer.cancel();
                           runs_.erase(place);
                       });
    }
    run->timer.expires_after(std::max<microseconds>(order.deadline - now, milliseconds{1}));
    while (!run->result && boot_clock::now() < order.deadline)
        co_await run->timer.async_wait(as_result);
    co_return run->result ? *run->result : work_result{result_code::unknown_deadline, {}, {}, {}};
}

/// The one run of a marked request; it goes on when its caller goes away.
asio::awaitable<work_result> dispatcher::run_once(work_order order)
{
    const count_guard counted(at_work_);
    const scoped_idempotency_key key{order.service, order.idempotency_key};
    const target_id home = order.target;
    if (!co_await copy_mark(home, key)) {
        book(home).table->cancel(key);
        co_return work_result{result_code::not_run_busy_key, {}, {}, milliseconds{10}};
    }
    auto result = co_await run_admitted(order);
    if (class_of(result.code) == result_class::not_run && elsewhere_ &&
        !context_.decisions.state().services()[number(order.service)].keyed)
        result = co_await elsewhere_(order);
    auto& marks = *book(home).table;
    if (result.code == result_code::done) {
        marks.record_response(key, to_stored(result.response), boot_clock::now());
        asio::co_spawn(context_.executor, copy_answer(home, key), asio::detached);
    }
    else if (class_of(result.code) == result_class::unknown)
        marks.record_unknown_outcome(key);
    else
        marks.cancel(key);
    co_return result;
}

dispatcher::mark_book& dispatcher::book(target_id target)
{
    auto& found = books_[target];
    if (!found.table) {
        idempotency_limits limits;
        limits.window = context_.decisions.state().settings().deployment.mark_window;
        found.table = std::make_unique<idempotency_table>(limits);
    }
    return found;
}

std::vector<session_id> dispatcher::cell_peers(target_id target) const
{
    const auto& state = context_.decisions.state();
    const auto cell = state.voter_groups().find(state.voter_group_of(target));
    std::vector<session_id> peers;
    if (cell == state.voter_groups().end())
        return peers;
    const auto now = boot_clock::now();
    for (const session_id voter : cell->second.voters) {
        if (voter != context_.decisions.settings().session && context_.decisions.is_reachable(voter, now))
            peers.push_back(voter);
    }
    const std::string& name = state.targets()[number(target)].name;
    std::ranges::sort(peers, std::greater<>{},
                      [&](session_id s) { return rendezvous_rank(name, number(s)); });
    return peers;
}

Json::Value dispatcher::mark_message(target_id target, std::span<const start_mark> marks, bool whole) const
{
    const auto desk = desks_.find(target);
    Json::Value out;
    out["target"] = number(target);
    out["term"] = to_json(desk == desks_.end() ? 0 : number(desk->second.token.term));
    out["whole"] = whole;
    out["complete"] = desk != desks_.end() && desk->second.marks_complete;
    out["marks"] = Json::Value{Json::arrayValue};
    for (const auto& mark : marks)
        out["marks"].append(mark_json(mark));
    return out;
}

/// Copies a start mark to another instance of the cell; the whole table to a new one.
/// @returns whether the mark has a copy, or nobody is there to keep one.
asio::awaitable<bool> dispatcher::copy_mark(target_id target, const scoped_idempotency_key& key)
{
    const auto peers = cell_peers(target);
    if (peers.empty())
        co_return true;
    const auto known = backups_.find(target);
    const bool kept = known != backups_.end() && std::ranges::find(peers, known->second) != peers.end();
    const session_id backup = kept ? known->second : peers.front();
    const auto now = boot_clock::now();
    auto& marks = *book(target).table;
    const auto one = marks.find(key, now);
    std::vector<start_mark> sent = kept && one ? std::vector{*one} : marks.marks(now);
    const auto address = peer_endpoint(context_.decisions.state(), backup);
    if (!address)
        co_return false;
    auto outcome = co_await context_.client.exchange(
        *address, make_request(http::verb::post, "/peer/marks", json_text(mark_message(target, sent, !kept))),
        now + mark_copy_limit);
    const auto* response = std::get_if<http_response>(&outcome);
    if (response == nullptr || response->result_int() != 200) {
        backups_.erase(target);
        co_return false;
    }
    backups_[target] = backup;
    co_return true;
}

asio::awaitable<void> dispatcher::copy_answer(target_id target, scoped_idempotency_key key)
{
    co_await copy_mark(target, key);
}

void dispatcher::keep_marks(const Json::Value& message, time_point now)
{
    json_reader reader(message, "marks");
    const auto target = reader.id<target_id>("target");
    const auto as_of = reader.id<term>("term");
    const bool whole = reader.bool_at("whole");
    const bool complete = reader.bool_at("complete");
    const auto& marks = reader.array_at("marks");
    if (reader.first_error() != nullptr)
        return;
    auto& known = book(target);
    if (whole) {
        known.as_of = std::max(known.as_of, as_of);
        known.complete = complete;
    }
    for (const auto& value : marks) {
        if (const auto mark = read_mark(value))
            known.table->import_mark(*mark, now);
    }
}

Json::Value dispatcher::marks_of(target_id target, time_point now) const
{
    Json::Value out = mark_message(target, {}, true);
    const auto known = books_.find(target);
    if (known == books_.end())
        return out;
    const auto desk = desks_.find(target);
    const bool own = desk != desks_.end();
    out["term"] = to_json(own ? number(desk->second.token.term) : number(known->second.as_of));
    out["complete"] = own ? desk->second.marks_complete : known->second.complete;
    for (const auto& mark : known->second.table->marks(now))
        out["marks"].append(mark_json(mark));
    return out;
}

/// Collects the marks of earlier dispatchers and decides whether they are complete.
asio::awaitable<void> dispatcher::settle_marks(dispatcher_action right)
{
    const target_id target = right.target;
    const dispatcher_token token = right.token;
    const auto& state = context_.decisions.state();
    const auto cell = state.voter_groups().find(state.voter_group_of(target));
    const bool first =
        number(token.term) == 1 && cell != state.voter_groups().end() && cell->second.reset_at == no_epoch;
    const auto follows = [&](term as_of) {
        return number(as_of) + 1 >= number(token.term) ||
               (right.predecessor_term && as_of >= *right.predecessor_term);
    };
    auto& own = book(target);
    bool complete = first || (own.complete && follows(own.as_of));
    for (const session_id peer : cell_peers(target)) {
        const auto address = peer_endpoint(state, peer);
        if (!address || first)
            continue;
        auto outcome = co_await context_.client.exchange(
            *address, make_request(http::verb::get, "/peer/marks?target=" + std::to_string(number(target))),
            boot_clock::now() + mark_collect_limit);
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
            if (const auto mark = read_mark(value))
                own.table->import_mark(*mark, boot_clock::now());
        }
    }
    const auto desk = desks_.find(target);
    if (desk == desks_.end() || desk->second.token != token)
        co_return;
    desk->second.marks_settled = true;
    desk->second.marks_complete = complete;
    desk->second.marks_doubtful_until = boot_clock::now() + state.settings().deployment.mark_window;
    own.as_of = token.term;
    own.complete = complete;
    co_await find_backup(target);
}

/// Gives the whole table to another instance of the cell.
asio::awaitable<void> dispatcher::find_backup(target_id target)
{
    const scoped_idempotency_key none;
    co_await copy_mark(target, none);
}

void dispatcher::revoke(const revoke_action& action)
{
    const auto found = desks_.find(action.target);
    if (found != desks_.end())
        asio::co_spawn(context_.executor, found->second.link->revoke(action.entries), asio::detached);
}

} // namespace teaseltally
