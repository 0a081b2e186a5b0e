#ifndef KUMQUATDRIFT_TESTS_SUPPORT_LOG_SERVICE_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_LOG_SERVICE_HPP

#include <string>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <support/child_process.hpp>

namespace kumquatdrift {

/*! @brief Runs a `log_server` process for a test. */
class log_service {
public:
    /**
     * @brief Starts the program and waits until it listens.
     * @param listen Address to listen on; port 0 selects a free port.
     */
    explicit log_service(const std::string& listen = "127.0.0.1:0")
        : process{KUMQUATDRIFT_BIN_DIR "/log_server", {"--listen", listen}}, listen_address{
                                                                                 read_address(this->process)}
    {
    }

    /**
     * @brief Returns the address of the service.
     * @return `IP:PORT`.
     */
    [[nodiscard]] const std::string& address() const noexcept
    {
        return this->listen_address;
    }

    /**
     * @brief Calls `/control` to inject faults or to read the counters.
     * @param body JSON body of a POST request; if empty, a GET request reads the counters.
     * @return Status code and body of the response.
     */
    std::pair<int, std::string> control(const std::string& body = {}) const
    {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress{this->listen_address}};
        Poco::Net::HTTPRequest request{body.empty() ? "GET" : "POST", "/control", "HTTP/1.1"};
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
        return {response.getStatus(), text};
    }

    child_process process;

private:
    std::string listen_address;
};

} // namespace kumquatdrift

#endif
