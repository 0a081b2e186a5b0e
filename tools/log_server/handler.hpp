#ifndef KUMQUATDRIFT_TOOLS_LOG_SERVER_HANDLER_HPP
#define KUMQUATDRIFT_TOOLS_LOG_SERVER_HANDLER_HPP

#include <memory>

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include "store.hpp"

namespace kumquatdrift::log_server {

/**
 * @brief Creates the factory of the HTTP request handlers.
 * @param streams Store that all handlers share.
 * @return The factory.
 */
[[nodiscard]] Poco::Net::HTTPRequestHandlerFactory::Ptr make_handler_factory(std::shared_ptr<store> streams);

} // namespace kumquatdrift::log_server

#endif
