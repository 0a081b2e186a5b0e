#ifndef KUMQUATDRIFT_TESTS_SUPPORT_CHILD_PROCESS_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_CHILD_PROCESS_HPP

#include <csignal>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>

namespace kumquatdrift {

/*! @brief A child process with piped standard output. The destructor kills it unless `wait` was called. */
class child_process {
public:
    /**
     * @brief Starts a program.
     * @param path Path of the program.
     * @param arguments Arguments without the program name.
     */
    child_process(const std::string& path, const std::vector<std::string>& arguments)
        : handle{Poco::Process::launch(path, arguments, nullptr, &this->output, nullptr)}, lines{this->output}
    {
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    ~child_process()
    {
        if (!this->ended) {
            this->signal(SIGKILL);
            this->wait();
        }
    }

    /**
     * @brief Reads a line of standard output. Blocks until one is available.
     * @return The line without its line break; empty at the end of the output.
     */
    [[nodiscard]] std::string read_line()
    {
        std::string line;
        std::getline(this->lines, line);
        return line;
    }

    /**
     * @brief Sends a signal.
     * @param number Signal number.
     */
    void signal(int number) const
    {
        ::kill(this->handle.id(), number);
    }

    /**
     * @brief Waits until the process exits.
     * @return Its exit code.
     */
    int wait()
    {
        this->ended = true;
        return this->handle.wait();
    }

private:
    Poco::Pipe output{};
    Poco::ProcessHandle handle;
    Poco::PipeInputStream lines;
    bool ended{};
};

/**
 * @brief Reads the address that a program listens on from its first line of output.
 * @param program The program; its first line ends with ` on IP:PORT`.
 * @return The address, as `IP:PORT`.
 * @throws std::runtime_error If the first line has no ` on `.
 */
[[nodiscard]] inline std::string read_address(child_process& program)
{
    constexpr std::string_view separator = " on ";
    const auto line = program.read_line();
    const auto position = line.rfind(separator);
    if (position == std::string::npos) {
        throw std::runtime_error{"the program did not print its address: " + line};
    }
    return line.substr(position + separator.size());
}

} // namespace kumquatdrift

#endif
