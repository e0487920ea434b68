#include <teaseltally/idempotency.hpp>

namespace teaseltally {

void repeat_table::expire(time_point now)
{
    while (!order_.empty() && order_.front().first <= now) {
        const auto found = entries_.find(order_.front().second);
        if (found != entries_.end() && found->second.expires <= now) {
            answer_bytes_ -= found->second.answer.body.size();
            entries_.erase(found);
        }
        order_.pop_front();
    }
}

void repeat_table::shrink_answers()
{
    while (answer_bytes_ > limits_.answer_bytes && !answered_.empty()) {
        const auto found = entries_.find(answered_.front());
        answered_.pop_front();
        if (found == entries_.end() || found->second.state != run_state::answered)
            continue;
        answer_bytes_ -= found->second.answer.body.size();
        found->second.answer = {};
        found->second.state = run_state::lost;
    }
}

repeat_verdict repeat_table::arrive(const request_key& key, std::uint64_t fingerprint, time_point now)
{
    expire(now);
    if (const auto found = entries_.find(key); found != entries_.end()) {
        const entry& known = found->second;
        if (known.fingerprint != fingerprint)
            return refuse_repeat{result_code::refused_key_reuse};
        if (known.state == run_state::running)
            return join_running{};
        if (known.state == run_state::answered)
            return repeat_answer{known.answer};
        return refuse_repeat{result_code::unknown_predecessor};
    }
    if (entries_.size() >= limits_.marks)
        return refuse_repeat{result_code::not_run_overloaded};
    entries_[key] = {fingerprint, run_state::running, now + limits_.window, {}};
    order_.emplace_back(now + limits_.window, key);
    return run_first{};
}

void repeat_table::finish(const request_key& key, const stored_answer& answer, time_point)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return;
    answer_bytes_ += answer.body.size() - found->second.answer.body.size();
    found->second.answer = answer;
    found->second.state = run_state::answered;
    answered_.push_back(key);
    shrink_answers();
}

void repeat_table::cancel(const request_key& key)
{
    if (const auto found = entries_.find(key);
        found != entries_.end() && found->second.state == run_state::running)
        entries_.erase(found);
}

void repeat_table::lose(const request_key& key)
{
    if (const auto found = entries_.find(key);
        found != entries_.end() && found->second.state == run_state::running)
        found->second.state = run_state::lost;
}

void repeat_table::adopt(const start_mark& mark, time_point now)
{
    expire(now);
    const auto [found, inserted] = entries_.try_emplace(mark.key);
    if (inserted) {
        found->second = {mark.fingerprint, run_state::lost, now + mark.remaining, {}};
        order_.emplace_back(now + mark.remaining, mark.key);
    }
    if (mark.answer && found->second.state != run_state::answered)
        finish(mark.key, *mark.answer, now);
}

std::vector<start_mark> repeat_table::marks(time_point now) const
{
    std::vector<start_mark> out;
    for (const auto& [key, entry] : entries_) {
        if (auto mark = find(key, now))
            out.push_back(std::move(*mark));
    }
    return out;
}

std::optional<start_mark> repeat_table::find(const request_key& key, time_point now) const
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
