#ifndef KUMQUATDRIFT_TARGET_SERVER_HANDLER_HPP
#define KUMQUATDRIFT_TARGET_SERVER_HANDLER_HPP

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include "state.hpp"

namespace target_server {

/*! @brief Header with the request id that the ledger counts. */
inline constexpr const char* request_id_header = "x-request-id";

/*! @brief Header that makes the process exit before it answers. */
inline constexpr const char* crash_header = "x-crash";

/*! @brief Makes one handler for each request. */
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    /**
     * @brief Constructs a factory.
     * @param shared State of the target; outlives the server.
     */
    explicit handler_factory(state& shared) noexcept : target{shared} {}

    /*! @brief Makes a handler. */
    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& request) override;

private:
    state& target;
};

} // namespace target_server

#endif
