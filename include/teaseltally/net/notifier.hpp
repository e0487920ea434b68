#pragma once

#include <teaseltally/types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <list>

/// @file
/// Notification of one waiting coroutine.

namespace teaseltally {

/// Flag that one coroutine waits for with a time limit. A notification that precedes the wait ends the next
/// wait at once. Not thread-safe.
class notifier {
public:
    /// @param executor executor of the coroutine that waits.
    explicit notifier(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /// Sets the flag and ends the current wait, or the next wait if no coroutine is waiting.
    void notify()
    {
        signalled_ = true;
        timer_.cancel();
    }

    /// Waits for a notification and clears the flag.
    /// @param until time on the boot clock at which the wait ends without a notification.
    /// @returns whether a notification was received.
    [[nodiscard]] boost::asio::awaitable<bool> wait_until(time_point until)
    {
        if (!signalled_) {
            timer_.expires_after(std::max<microseconds>(until - boot_clock::now(), microseconds{0}));
            co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        const bool notified = signalled_;
        signalled_ = false;
        co_return notified;
    }

private:
    boost::asio::steady_timer timer_;
    bool signalled_ = false;
};

/// Keeps a notifier in a list of waiting notifiers. The destructor removes the notifier from the list, also
/// if the waiting coroutine is cancelled.
class notifier_registration {
public:
    /// Appends a notifier to a list.
    /// @param list list of waiting notifiers; it outlives the registration.
    /// @param waiting notifier to append; it outlives the registration.
    notifier_registration(std::list<notifier*>& list, notifier& waiting)
        : list_(list), position_(list.insert(list.end(), &waiting))
    {
    }
    ~notifier_registration() { list_.erase(position_); }
    notifier_registration(const notifier_registration&) = delete;
    notifier_registration& operator=(const notifier_registration&) = delete;
    notifier_registration(notifier_registration&&) = delete;
    notifier_registration& operator=(notifier_registration&&) = delete;

private:
    std::list<notifier*>& list_;
    std::list<notifier*>::iterator position_;
};

} // namespace teaseltally
