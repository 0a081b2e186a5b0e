#include <kumquatdrift/log/read_retained.hpp>

#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>

namespace kumquatdrift {

namespace {

/*! @brief Attempts to read a stream without gaps before giving up. */
constexpr int max_attempts = 3;

enum class page_outcome : std::uint8_t { more, complete, gap };

page_outcome append_page(log_batch& whole, log_batch page)
{
    const auto next = whole.bounds.end;
    if (page.bounds.earliest > next || (!page.records.empty() && page.records.front().offset != next)) {
        return page_outcome::gap;
    }
    whole.bounds.end = next + page.records.size();
    std::move(page.records.begin(), page.records.end(), std::back_inserter(whole.records));
    const auto complete = page.records.empty() || whole.bounds.end >= page.bounds.end;
    return complete ? page_outcome::complete : page_outcome::more;
}

/*! @brief Reads all pages once. Holds no value after a gap. */
result<std::optional<log_batch>> read_pages(const log_port& log, std::string_view stream, std::size_t page)
{
    auto first = log.read(stream, 0, page, milliseconds{0});
    if (!first) {
        return failure{first.last_reason()};
    }
    log_batch whole;
    whole.bounds.earliest = first->records.empty() ? first->bounds.earliest : first->records.front().offset;
    whole.bounds.end = whole.bounds.earliest;
    auto outcome = append_page(whole, std::move(*first));
    while (outcome == page_outcome::more) {
        auto next = log.read(stream, whole.bounds.end, page, milliseconds{0});
        if (!next) {
            return failure{next.last_reason()};
        }
        outcome = append_page(whole, std::move(*next));
    }
    if (outcome == page_outcome::gap) {
        return std::optional<log_batch>{};
    }
    return std::optional{std::move(whole)};
}

} // namespace

result<log_batch> read_retained(const log_port& log, std::string_view stream, std::size_t page)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        auto whole = read_pages(log, stream, page);
        if (!whole) {
            return failure{whole.last_reason()};
        }
        if (*whole) {
            return std::move(**whole);
        }
    }
    return failure{"records of the stream expire faster than they can be read"};
}

} // namespace kumquatdrift
