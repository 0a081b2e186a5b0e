#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <sstream>
#include <string_view>
#include <thread>
#include <vector>

#include <Poco/JSON/Object.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <kumquatdrift/http/message.hpp>
#include <kumquatdrift/proxy/headers.hpp>

#include "options.hpp"
#include "report.hpp"

namespace load_generator {
namespace {

using kumquatdrift::microseconds;
using kumquatdrift::read_progress;
using kumquatdrift::steady_now;
using kumquatdrift::timestamp;

/*! @brief Open-loop schedule that all threads share: call n starts at start + n / rate. */
struct schedule {
    timestamp start{};
    timestamp end{};
    double rate{};
    std::atomic<std::uint64_t> next{};

    [[nodiscard]] timestamp start_of(std::uint64_t call) const
    {
        const std::chrono::duration<double> offset{static_cast<double>(call) / this->rate};
        return this->start + std::chrono::duration_cast<microseconds>(offset);
    }
};

class caller {
public:
    caller(const options& settings, schedule& shared)
        : opts{settings}, plan{shared}, address{settings.address}, body(settings.body_bytes, 'b')
    {
    }

    void run()
    {
        while (true) {
            const auto index = this->plan.next.fetch_add(1);
            const auto scheduled = this->plan.start_of(index);
            if (scheduled >= this->plan.end) {
                return;
            }
            std::this_thread::sleep_until(scheduled);
            ++this->results.sent;
            const auto sent = steady_now();
            if (this->call(index)) {
                const auto now = steady_now();
                this->results.from_schedule.add(now - scheduled);
                this->results.from_send.add(now - sent);
            }
        }
    }

    [[nodiscard]] const report& result() const noexcept
    {
        return this->results;
    }

private:
    // Returns true if a complete response was received.
    bool call(std::uint64_t number)
    {
        try {
            return this->try_call(number);
        }
        catch (const Poco::Exception&) {
            ++this->results.by_status["broken"];
            this->socket.reset();
            return false;
        }
    }

    bool try_call(std::uint64_t number)
    {
        if (!this->socket) {
            this->input.clear();
            this->socket.emplace();
            const Poco::Timespan timeout{this->opts.timeout.count() * 1'000};
            this->socket->connect(this->address, timeout);
            this->socket->setSendTimeout(timeout);
            this->socket->setReceiveTimeout(timeout);
            this->socket->setNoDelay(true);
        }
        const auto id = this->opts.id_prefix + std::to_string(number);
        auto lines = "Host: " + this->opts.host + "\r\nx-request-id: " + id + "\r\n";
        if (!this->opts.key_header.empty()) {
            lines += this->opts.key_header + ": " + id + "\r\n";
        }
        this->send(kumquatdrift::serialize_request(this->opts.method, this->opts.path, lines, this->body));
        return this->record_response(this->receive());
    }

    void send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto count = this->socket->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            bytes.remove_prefix(static_cast<std::size_t>(std::max(count, 0)));
        }
    }

    // Returns the final response. Throws a Poco::Exception if it is not complete and valid.
    kumquatdrift::http_message receive()
    {
        this->reader.reset(this->opts.method == "HEAD");
        while (true) {
            const auto progress = this->reader.feed(this->input);
            if (progress == read_progress::failed) {
                throw Poco::Net::MessageException{this->reader.failure_reason()};
            }
            if (progress == read_progress::complete) {
                auto response = this->reader.take();
                if (response.status >= kumquatdrift::min_final_status) {
                    return response;
                }
                this->reader.reset(this->opts.method == "HEAD");
                continue;
            }
            std::array<char, block_bytes> block{};
            const auto count = this->socket->receiveBytes(block.data(), static_cast<int>(block.size()));
            this->input.append(block.data(), static_cast<std::size_t>(std::max(count, 0)));
            if (count <= 0) {
                if (this->reader.end_of_stream() != read_progress::complete) {
                    throw Poco::Net::MessageException{"the response is truncated"};
                }
                return this->reader.take();
            }
        }
    }

    bool record_response(const kumquatdrift::http_message& response)
    {
        ++this->results.by_status[std::to_string(response.status)];
        if (const auto* verdict = kumquatdrift::find_field(response.fields, kumquatdrift::verdict_header)) {
            ++this->results.by_verdict[*verdict];
        }
        constexpr unsigned first_error_status = 400;
        this->results.ok += response.status < first_error_status ? 1 : 0;
        if (!response.keep_alive) {
            this->socket.reset();
        }
        return true;
    }

    static constexpr std::size_t block_bytes = 16 * 1024;
    static constexpr std::size_t max_head_bytes = 64 * 1024;
    static constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;

    const options& opts;
    schedule& plan;
    Poco::Net::SocketAddress address;
    std::string body;
    std::optional<Poco::Net::StreamSocket> socket{};
    std::string input{};
    kumquatdrift::http_reader reader{kumquatdrift::http_reader::kind::response, max_head_bytes,
                                     max_body_bytes};
    report results{};
};

Poco::JSON::Object::Ptr to_json(const std::map<std::string, std::uint64_t>& counts)
{
    Poco::JSON::Object::Ptr object{new Poco::JSON::Object};
    for (const auto& [name, count] : counts) {
        object->set(name, count);
    }
    return object;
}

void print(const report& totals, std::chrono::duration<double> elapsed)
{
    constexpr double median = 0.5;
    constexpr double percentile_99 = 0.99;
    Poco::JSON::Object object{Poco::JSON_PRESERVE_KEY_ORDER};
    object.set("sent", totals.sent);
    object.set("ok", totals.ok);
    object.set("by_status", to_json(totals.by_status));
    object.set("by_verdict", to_json(totals.by_verdict));
    object.set("p50_ms", totals.from_schedule.quantile_ms(median));
    object.set("p99_ms", totals.from_schedule.quantile_ms(percentile_99));
    object.set("max_ms", totals.from_schedule.max_ms());
    object.set("service_p50_ms", totals.from_send.quantile_ms(median));
    object.set("service_p99_ms", totals.from_send.quantile_ms(percentile_99));
    object.set("goodput", static_cast<double>(totals.ok) / elapsed.count());
    object.stringify(std::cout);
    std::cout << std::endl;
}

int run(const options& settings)
{
    schedule plan;
    plan.start = steady_now() + kumquatdrift::milliseconds{10};
    plan.end = plan.start + settings.duration;
    plan.rate = settings.rate;
    std::vector<std::unique_ptr<caller>> callers;
    std::vector<std::thread> threads;
    callers.reserve(settings.connections);
    threads.reserve(settings.connections);
    for (std::uint32_t index = 0; index < settings.connections; ++index) {
        callers.push_back(std::make_unique<caller>(settings, plan));
        threads.emplace_back([worker = callers.back().get()] { worker->run(); });
    }
    report totals;
    for (std::size_t index = 0; index < threads.size(); ++index) {
        threads[index].join();
        totals.merge(callers[index]->result());
    }
    print(totals, steady_now() - plan.start);
    return EXIT_SUCCESS;
}

} // namespace
} // namespace load_generator

int main(int argc, char** argv)
{
    try {
        return load_generator::run(load_generator::parse_options(argc, argv));
    }
    catch (const Poco::Exception& error) {
        std::cerr << "load: " << error.displayText() << '\n';
    }
    return EXIT_FAILURE;
}
