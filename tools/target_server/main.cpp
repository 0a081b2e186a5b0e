#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include "handler.hpp"
#include "options.hpp"
#include "state.hpp"

namespace target_server {
namespace {

using kumquatdrift::milliseconds;

constexpr milliseconds announce_interval{1'000};
constexpr int announce_ttl_ms = 3'000;

std::string encode_announcement(const state& target, const std::string& address)
{
    const auto& settings = target.settings();
    Poco::JSON::Object object;
    object.set("id", settings.id);
    object.set("service", settings.service);
    object.set("address", address);
    object.set("slots", settings.slots);
    object.set("state", std::string{to_name(target.current())});
    object.set("ttl_ms", announce_ttl_ms);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

void announce(const state& target, const std::string& address)
{
    const Poco::URI uri{target.settings().announce};
    const auto body = encode_announcement(target, address);
    try {
        Poco::Net::HTTPClientSession session{uri.getHost(), uri.getPort()};
        session.setTimeout(Poco::Timespan{1, 0});
        const auto path = uri.getPath().size() > 1 ? uri.getPath() : "/v1/announce";
        Poco::Net::HTTPRequest request{"POST", path, Poco::Net::HTTPMessage::HTTP_1_1};
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        Poco::NullOutputStream ignored;
        Poco::StreamCopier::copyStream(session.receiveResponse(response), ignored);
        if (response.getStatus() >= Poco::Net::HTTPResponse::HTTP_BAD_REQUEST) {
            std::cerr << "target: the node rejected the announcement with " << response.getStatus() << '\n';
        }
    }
    catch (const Poco::Exception& error) {
        std::cerr << "target: announcement failed: " << error.displayText() << '\n';
    }
}

void announce_until_drained(state& target, const std::string& address)
{
    auto announced = target.current();
    announce(target, address);
    auto next_announcement = kumquatdrift::steady_now() + announce_interval;
    while (announced != kumquatdrift::target_state::draining) {
        // The state is polled, because the end of the cold period is not signalled. An announcement is sent
        // when the state has changed or the interval has passed.
        constexpr milliseconds poll_interval{50};
        target.wait_for_drain(poll_interval);
        const auto current = target.current();
        if (current != announced || kumquatdrift::steady_now() >= next_announcement) {
            announced = current;
            announce(target, address);
            next_announcement = kumquatdrift::steady_now() + announce_interval;
        }
    }
}

int run(const options& settings)
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    state target{settings};
    Poco::ThreadPool threads{2, static_cast<int>(settings.connections) + 1};
    Poco::Net::ServerSocket socket{Poco::Net::SocketAddress{settings.listen}};
    const auto address = socket.address().toString();
    Poco::Net::HTTPServerParams::Ptr parameters{new Poco::Net::HTTPServerParams};
    parameters->setMaxThreads(static_cast<int>(settings.connections));
    parameters->setMaxQueued(static_cast<int>(settings.connections));
    parameters->setKeepAliveTimeout(Poco::Timespan{60, 0});
    parameters->setMaxKeepAliveRequests(0);
    Poco::Net::HTTPServer server{new handler_factory{target}, threads, socket, parameters};
    server.start();
    std::cout << "listening on " << address << std::endl;
    std::thread announcer;
    if (!settings.announce.empty()) {
        announcer = std::thread{[&target, &address] { announce_until_drained(target, address); }};
    }
    int received{};
    sigwait(&signals, &received);
    target.start_drain();
    if (announcer.joinable()) {
        announcer.join();
        std::this_thread::sleep_for(settings.drain_notice);
    }
    server.stop();
    target.wait_until_idle();
    // Waits for the final chunks of the responses, which are written after the handlers have returned.
    server.stopAll(false);
    // Skips the destructor of the server, which waits for the idle timeout of its connections.
    std::cout << "drained" << std::endl;
    std::_Exit(EXIT_SUCCESS);
}

} // namespace
} // namespace target_server

int main(int argc, char** argv)
{
    try {
        return target_server::run(target_server::parse_options(argc, argv));
    }
    catch (const Poco::Exception& error) {
        std::cerr << "target: " << error.displayText() << '\n';
    }
    return EXIT_FAILURE;
}
