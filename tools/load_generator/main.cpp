#include <atomic>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <kumquatdrift/proxy/headers.hpp>

#include "options.hpp"
#include "report.hpp"

namespace load_generator {
namespace {

using kumquatdrift::microseconds;
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
            this->session.reset();
            return false;
        }
    }

    bool try_call(std::uint64_t number)
    {
        if (!this->session) {
            this->session = std::make_unique<Poco::Net::HTTPClientSession>(this->address);
            this->session->setKeepAlive(true);
            this->session->setKeepAliveTimeout(Poco::Timespan{30, 0});
            this->session->setTimeout(Poco::Timespan{this->opts.timeout.count() * 1'000});
        }
        Poco::Net::HTTPRequest request{this->opts.method, this->opts.path, Poco::Net::HTTPMessage::HTTP_1_1};
        request.setHost(this->opts.host);
        const auto id = this->opts.id_prefix + std::to_string(number);
        request.set("x-request-id", id);
        if (!this->opts.key_header.empty()) {
            request.set(this->opts.key_header, id);
        }
        if (!this->body.empty() || this->opts.method != "GET") {
            request.setContentLength64(static_cast<Poco::Int64>(this->body.size()));
        }
        auto& output = this->session->sendRequest(request);
        output.write(this->body.data(), static_cast<std::streamsize>(this->body.size()));
        Poco::Net::HTTPResponse response;
        auto& input = this->session->receiveResponse(response);
        Poco::NullOutputStream ignored;
        const auto received = Poco::StreamCopier::copyStream64(input, ignored);
        return this->record_response(response, received);
    }

    bool record_response(const Poco::Net::HTTPResponse& response, Poco::UInt64 received)
    {
        const auto is_truncated = response.hasContentLength() && this->opts.method != "HEAD" &&
                                  received < static_cast<Poco::UInt64>(response.getContentLength64());
        if (is_truncated || this->session->networkException() != nullptr) {
            ++this->results.by_status["broken"];
            this->session.reset();
            return false;
        }
        ++this->results.by_status[std::to_string(response.getStatus())];
        const std::string verdict_name{kumquatdrift::verdict_header};
        if (response.has(verdict_name)) {
            ++this->results.by_verdict[response.get(verdict_name)];
        }
        this->results.ok += response.getStatus() < Poco::Net::HTTPResponse::HTTP_BAD_REQUEST ? 1 : 0;
        if (!response.getKeepAlive()) {
            this->session.reset();
        }
        return true;
    }

    const options& opts;
    schedule& plan;
    Poco::Net::SocketAddress address;
    std::string body;
    std::unique_ptr<Poco::Net::HTTPClientSession> session{};
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
