#include <kumquatdrift/telemetry/log.hpp>

#include <memory>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace kumquatdrift {
namespace {

log4cxx::LevelPtr level_of(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

} // namespace

void set_up_log(log_level level)
{
    // Loggers are named after their component, so `%c` writes the prefix.
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %c: %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(level_of(level));
}

part_logger::part_logger(log_part part) : logger{log4cxx::Logger::getLogger(std::string{to_name(part)})} {}

bool part_logger::is_enabled(log_level level) const
{
    return this->logger->isEnabledFor(level_of(level));
}

void part_logger::write(log_level level, const std::string& message) const
{
    if (this->is_enabled(level)) {
        this->logger->forcedLog(level_of(level), message);
    }
}

} // namespace kumquatdrift
