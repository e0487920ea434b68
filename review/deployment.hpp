#pragma once

#include <teaseltally/json.hpp>
#include <teaseltally/net/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Stand-ins for the platform, its store, the upstreams and the clients, as the platform's pages describe
/// them, round processes of `teaseltally-front`.

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using teaseltally::boot_clock;
using teaseltally::http_request;
using teaseltally::http_response;
using teaseltally::milliseconds;
using teaseltally::tcp_endpoint;
using teaseltally::time_point;

inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Writes lines with the time since the start of the case to the file `record.txt`.
class record_file {
public:
    explicit record_file(const std::string& path) : file_(path), started_(boot_clock::now()) {}
    void add(const std::string& line);

private:
    std::ofstream file_;
    time_point started_;
};

/// The platform's store: keyed topics with one partition each.
class store {
public:
    explicit store(asio::io_context& io);
    [[nodiscard]] tcp_endpoint endpoint() const { return server_.local_endpoint(); }
    /// Appends a record of the operator or of an upstream.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Returns the newest value of a key, if there is one.
    [[nodiscard]] std::optional<std::string> newest(const std::string& topic, const std::string& key) const;

private:
    struct record {
        std::string key;
        std::string value;
    };
    asio::awaitable<http_response> answer(http_request request);
    asio::awaitable<http_response> read(std::string topic, std::uint64_t from, milliseconds wait);
    [[nodiscard]] http_response read_newest(const std::string& topic) const;
    http_response append(const std::string& topic, const std::string& body, const std::string& as_of);

    std::map<std::string, std::vector<record>> topics_;
    teaseltally::http_server server_;
};

/// What became of a request at an upstream.
struct run {
    std::string id;
    std::string upstream;
    time_point started;
    /// Time at which the work would be done, or was.
    time_point work_ends;
    std::optional<time_point> answered;
};

/// An upstream that works as long as the header `X-Work-Ms` says and drops a request whose connection closes.
class upstream {
public:
    upstream(asio::io_context& io, store& registrations, record_file& record, std::string id,
             std::string service, std::string zone);
    [[nodiscard]] const std::vector<std::shared_ptr<run>>& runs() const { return runs_; }

private:
    asio::awaitable<http_response> serve(http_request request);

    record_file& record_;
    std::string id_;
    std::vector<std::shared_ptr<run>> runs_;
    teaseltally::http_server server_;
};

/// Fills in a template as the platform does: values, tables and lists as the page DEPLOY says.
[[nodiscard]] std::string render(const std::string& text, const Json::Value& fields);

/// A machine with one process of the role `entry`.
class machine {
public:
    /// @param root root of the repository.
    /// @param folder folder for the settings file and the output of the process.
    /// @param number number of the machine, which has a loopback address of its own.
    machine(std::filesystem::path root, const std::filesystem::path& folder, unsigned number,
            const std::string& zone, const Json::Value& site, const tcp_endpoint& store);
    ~machine();
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    machine(machine&&) = delete;
    machine& operator=(machine&&) = delete;

    /// Starts the process with the command of the deploy file.
    void start();
    void signal(int number) const;
    /// Returns whether the process has ended.
    [[nodiscard]] bool has_ended();
    /// Returns the resident memory of the process, in megabytes.
    [[nodiscard]] double memory_mb() const;
    [[nodiscard]] const tcp_endpoint& front() const { return front_; }
    [[nodiscard]] const tcp_endpoint& ready() const { return ready_; }
    [[nodiscard]] const std::string& name() const { return name_; }

private:
    std::filesystem::path root_;
    std::filesystem::path settings_;
    std::filesystem::path output_;
    std::string name_;
    tcp_endpoint front_;
    tcp_endpoint ready_;
    int process_ = -1;
};

/// Waits until the readiness address of a machine answers 200.
/// @returns false after 15 s.
asio::awaitable<bool> wait_until_ready(const machine& started);

/// What a client got for one request.
struct answer {
    std::string id;
    time_point sent;
    time_point ended;
    /// 0 if the connection ended without an answer.
    unsigned status = 0;
    bool is_signed = false;
};

/// One client connection, which is kept for many requests.
class client {
public:
    client(asio::io_context& io, tcp_endpoint front) : stream_(io), front_(std::move(front)) {}
    /// Sends a request and reads its answer; connects first if there is no connection.
    asio::awaitable<answer> call(http_request request, milliseconds patience);

private:
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    tcp_endpoint front_;
    bool connected_ = false;
};

/// Returns a client's request.
[[nodiscard]] http_request make_call(http::verb method, const std::string& host, const std::string& path,
                                     const std::string& id, milliseconds deadline, milliseconds work,
                                     std::string body = {});

} // namespace review
