#include <teaseltally/idempotency.hpp>

namespace teaseltally {

void idempotency_table::remove_expired(time_point now)
{
    while (!expiry_order_.empty() && expiry_order_.front().first <= now) {
        const auto found = entries_.find(expiry_order_.front().second);
        if (found != entries_.end() && found->second.expires <= now) {
            response_bytes_ -= found->second.answer.body.size();
            entries_.erase(found);
        }
        expiry_order_.pop_front();
    }
}

void idempotency_table::evict_responses()
{
    while (response_bytes_ > limits_.response_bytes && !answered_order_.empty()) {
        const auto found = entries_.find(answered_order_.front());
        answered_order_.pop_front();
        if (found == entries_.end() || found->second.state != run_state::answered)
            continue;
        response_bytes_ -= found->second.answer.body.size();
        found->second.answer = {};
        found->second.state = run_state::outcome_unknown;
    }
}

idempotency_decision idempotency_table::try_start(const scoped_idempotency_key& key,
                                                  std::uint64_t fingerprint, time_point now)
{
    remove_expired(now);
    if (const auto found = entries_.find(key); found != entries_.end()) {
        const entry& existing = found->second;
        if (existing.fingerprint != fingerprint)
            return refuse_request{result_code::refused_key_reuse};
        if (existing.state == run_state::running)
            return join_run{};
        if (existing.state == run_state::answered)
            return replay_response{existing.answer};
        return refuse_request{result_code::unknown_predecessor};
    }
    if (entries_.size() >= limits_.marks)
        return refuse_request{result_code::not_run_overloaded};
    entries_[key] = {fingerprint, run_state::running, now + limits_.window, {}};
    expiry_order_.emplace_back(now + limits_.window, key);
    return start_run{};
}

void idempotency_table::record_response(const scoped_idempotency_key& key, const stored_response& answer,
                                        time_point)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return;
    response_bytes_ += answer.body.size() - found->second.answer.body.size();
    found->second.answer = answer;
    found->second.state = run_state::answered;
    answered_order_.push_back(key);
    evict_responses();
}

void idempotency_table::cancel(const scoped_idempotency_key& key)
{
    if (const auto found = entries_.find(key);
        found != entries_.end() && found->second.state == run_state::running)
        entries_.erase(found);
}

void idempotency_table::record_unknown_outcome(const scoped_idempotency_key& key)
{
    if (const auto found = entries_.find(key);
        found != entries_.end() && found->second.state == run_state::running)
        found->second.state = run_state::outcome_unknown;
}

void idempotency_table::import_mark(const start_mark& mark, time_point now)
{
    remove_expired(now);
    const auto [found, inserted] = entries_.try_emplace(mark.key);
    if (inserted) {
        found->second = {mark.fingerprint, run_state::outcome_unknown, now + mark.remaining, {}};
        expiry_order_.emplace_back(now + mark.remaining, mark.key);
    }
    if (mark.answer && found->second.state != run_state::answered)
        record_response(mark.key, *mark.answer, now);
}

std::vector<start_mark> idempotency_table::marks(time_point now) const
{
    std::vector<start_mark> out;
    for (const auto& [key, entry] : entries_) {
        if (auto mark = find(key, now))
            out.push_back(std::move(*mark));
    }
    return out;
}

std::optional<start_mark> idempotency_table::find(const scoped_idempotency_key& key, time_point now) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.expires <= now)
        return std::nullopt;
    start_mark mark{
        key, found->second.fingerprint, std::chrono::ceil<milliseconds>(found->second.expires - now), {}};
    if (found->second.state == run_state::answered)
        mark.answer = found->second.answer;
    return mark;
}

} // namespace teaseltally
