#ifndef KUMQUATDRIFT_CORE_VERDICT_HPP
#define KUMQUATDRIFT_CORE_VERDICT_HPP

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>

namespace kumquatdrift {

/*! @brief Whether a request, or a write to the log, may have taken effect. */
enum class verdict : std::uint8_t {
    /*! @brief It certainly had no effect; a retry is safe. */
    not_run,
    /*! @brief It is unknown whether it had an effect. */
    may_have_run,
    /*! @brief It certainly took effect. */
    ran,
};

/*! @brief Names of the verdicts, as sent in the verdict header. */
template<>
struct enum_names<verdict> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<verdict, std::string_view>, 3> table{{
        {verdict::not_run, "not_run"},
        {verdict::may_have_run, "may_have_run"},
        {verdict::ran, "ran"},
    }};
};

} // namespace kumquatdrift

#endif
