#ifndef KUMQUATDRIFT_TESTS_SUPPORT_FUZZ_MAIN_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_FUZZ_MAIN_HPP

#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include <rapidcheck.h>
#include <tclap/CmdLine.h>

namespace kumquatdrift {

/*! @brief Time limit and operation counter of a fuzz program. */
class fuzz_budget {
public:
    /**
     * @brief Starts the time limit.
     * @param seconds Duration of the program.
     */
    explicit fuzz_budget(double seconds)
        : start{std::chrono::steady_clock::now()}, duration{std::chrono::duration<double>{seconds}}
    {
    }

    /**
     * @brief Adds operations on the code under test to the counter.
     * @param amount Number of operations.
     */
    void count(std::uint64_t amount = 1) noexcept
    {
        this->counted += amount;
    }

    /**
     * @brief Returns the operations counted so far.
     * @return Number of operations.
     */
    [[nodiscard]] std::uint64_t operations() const noexcept
    {
        return this->counted;
    }

    /**
     * @brief Returns the time since construction.
     * @return Seconds.
     */
    [[nodiscard]] double elapsed_seconds() const noexcept
    {
        return std::chrono::duration<double>{std::chrono::steady_clock::now() - this->start}.count();
    }

    /**
     * @brief Checks whether the time limit is reached.
     * @return True if no further round may start.
     */
    [[nodiscard]] bool exhausted() const noexcept
    {
        return this->elapsed_seconds() >= this->duration.count();
    }

private:
    std::chrono::steady_clock::time_point start;
    std::chrono::duration<double> duration;
    std::uint64_t counted{};
};

/*! @brief Thrown if a property fails. The message contains the shrunk case. */
struct fuzz_fault : std::runtime_error {
    using std::runtime_error::runtime_error;
};

namespace internal {

/*! @brief Suppresses the progress output of RapidCheck. */
struct silent_listener : rc::detail::TestListener {
    void onTestCaseFinished(const rc::detail::CaseDescription&) override {}
    void onShrinkTried(const rc::detail::CaseDescription&, bool) override {}
    void onTestFinished(const rc::detail::TestMetadata&, const rc::detail::TestResult&) override {}
};

/*! @brief Loads RapidCheck's configuration without its message, which shows a seed that is not used here. */
inline void load_configuration()
{
    auto* const buffer = std::cerr.rdbuf(nullptr);
    static_cast<void>(rc::detail::configuration());
    std::cerr.rdbuf(buffer);
}

} // namespace internal

/**
 * @brief Checks a RapidCheck property with a fixed seed and shrinks a failing case.
 * @param seed Seed of the generators.
 * @param cases Number of generated cases.
 * @param size Largest generated size.
 * @param property The property: a function that takes generated arguments or draws them with `*gen`, and
 * checks with the `RC_` macros.
 * @throws fuzz_fault If the property fails.
 */
template<typename Property>
void check_property(std::uint64_t seed, int cases, int size, Property&& property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = cases;
    parameters.maxSize = size;
    internal::load_configuration();
    internal::silent_listener listener;
    const std::unordered_map<std::string, rc::detail::Reproduce> no_replay;
    const auto outcome = rc::detail::checkTestable(
        std::forward<Property>(property), rc::detail::TestMetadata{}, parameters, listener, no_replay);
    if (!outcome.template is<rc::detail::SuccessResult>()) {
        std::ostringstream text;
        rc::detail::printResultMessage(outcome, text);
        throw fuzz_fault{text.str()};
    }
}

/**
 * @brief Runs rounds of a fuzz program with the seeds S, S+1, ... until the time limit or the first fault.
 *
 * Options are `--seed S` and `--seconds T`. After a fault it prints the seed of the failed round, which
 * reproduces the fault in the first round.
 *
 * @param argc Argument count of `main`.
 * @param argv Arguments of `main`.
 * @param name Name of the program in its report.
 * @param round Runs one round. Must depend only on the seed, count its operations, take well under a second,
 *        and throw on a fault.
 * @return Exit code: 0 without a fault, 1 with a fault, 2 on a usage error.
 */
[[nodiscard]] inline int run_fuzz(int argc, char** argv, std::string_view name,
                                  const std::function<void(std::uint64_t seed, fuzz_budget&)>& round)
{
    std::uint64_t seed{};
    double seconds{};
    try {
        TCLAP::CmdLine command{std::string{name}, ' ', "1"};
        TCLAP::ValueArg<std::uint64_t> seed_option{"",  "seed", "Seed of the first round.", false, 1,
                                                   "N", command};
        TCLAP::ValueArg<double> seconds_option{"",  "seconds", "Duration of the run.", false, 3.0,
                                               "S", command};
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        seed = seed_option.getValue();
        seconds = seconds_option.getValue();
    }
    catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    }
    catch (const TCLAP::ArgException& error) {
        std::cerr << name << ": " << error.error() << ' ' << error.argId() << '\n';
        return 2;
    }
    fuzz_budget budget{seconds};
    std::uint64_t rounds{};
    std::string fault;
    do {
        try {
            round(seed + rounds, budget);
        }
        catch (const std::exception& error) {
            fault = error.what();
        }
        ++rounds;
    } while (fault.empty() && !budget.exhausted());
    const auto elapsed = budget.elapsed_seconds();
    const auto rate = static_cast<double>(budget.operations()) / (elapsed > 0.0 ? elapsed : 1.0);
    std::cout << name << ": seed " << seed << ", rounds " << rounds << ", operations " << budget.operations()
              << ", seconds " << elapsed << ", operations/s " << static_cast<std::uint64_t>(rate) << '\n';
    if (!fault.empty()) {
        std::cerr << name << ": fault; reproduce with --seed " << seed + rounds - 1 << '\n' << fault << '\n';
        return 1;
    }
    return 0;
}

} // namespace kumquatdrift

#endif
