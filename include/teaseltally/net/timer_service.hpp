#pragma once

#include <teaseltally/types.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>

/// @file
/// Periodic calls on an executor.

namespace teaseltally {

namespace asio = boost::asio;

/// Calls subscribers at their intervals on the executor's thread, with a resolution of 50 ms.
class timer_service {
public:
    /// Function that receives the current time of the boot clock.
    using callback = std::function<void(time_point)>;

    /// Starts the timer.
    /// @param executor executor on which the subscribers are called.
    explicit timer_service(const asio::any_io_executor& executor);
    /// Stops the timer. Subscriptions that still exist have no effect any more.
    ~timer_service();
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;
    timer_service(timer_service&&) = delete;
    timer_service& operator=(timer_service&&) = delete;

    /// Handle of a subscription, which ends when the handle is destroyed.
    using subscription = std::shared_ptr<void>;

    /// Calls a function periodically, for the first time after one interval.
    /// @param interval time between calls. Shorter intervals than 50 ms give one call every 50 ms.
    /// @param call function to call with the current time.
    /// @returns the handle of the subscription.
    [[nodiscard]] subscription every(milliseconds interval, callback call);

private:
    struct subscriber;
    void arm();

    asio::steady_timer timer_;
    std::list<std::weak_ptr<subscriber>> subscribers_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace teaseltally
