#include <platform/keyed_topic.hpp>

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

#include <support/gateway_world.hpp>

namespace kumquatdrift::platform {
namespace {

/*! @brief Encodes a number of 8 bytes, or of 4, in big-endian order. */
std::string big_endian(std::uint64_t number, int bytes)
{
    std::string text{};
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>((number >> shift) & 0xffU));
    }
    return text;
}

/*! @brief Body of a response with new records; each has the key `k`. */
std::string records_body(std::uint64_t end, const std::vector<std::string>& values)
{
    auto body = big_endian(end, 8) + big_endian(0, 8);
    for (const auto& value : values) {
        body += big_endian(value.size() + 2, 4) + "\1k" + value;
    }
    return body;
}

/*! @brief Body of a page of newest records without values; `last_key` has a record if it isn't empty. */
std::string newest_body(std::uint64_t end, const std::string& last_key = "", bool has_more = false)
{
    const auto items = last_key.empty() ? "" : R"({"key":")" + last_key + R"(","value":"dg==","offset":0})";
    return R"({"items":[)" + items + R"(],"has_more":)" + (has_more ? "true" : "false") + R"(,"end":)" +
           std::to_string(end) + "}";
}

/*! @brief A reader of a store whose answers the test gives. */
class keyed_topic_reader : public ::testing::Test {
protected:
    keyed_topic_reader()
    {
        this->era.on_change(this->record_event, [this](std::uint64_t now) {
            this->eras.push_back(now);
            if (this->on_era) {
                this->on_era();
            }
        });
    }

    void subscribe()
    {
        this->topic.subscribe(
            [this](std::string_view, std::optional<std::string_view> value) {
                this->values.emplace_back(value.value_or(""));
                return this->values.back() != this->unusable;
            },
            this->record_event, [this](bool available) { this->accesses.push_back(available); });
    }

    /*! @brief Waits for the next request and returns its target; empty if none arrives. */
    std::string next_target()
    {
        const auto arrived =
            this->world.run_until([this] { return this->store.requests.size() > this->answered; });
        return arrived ? this->store.requests[this->answered]->request.target : "";
    }

    /*! @brief Answers the request that `next_target` returned. */
    void answer(const std::string& header_lines, const std::string& body, unsigned status = 200)
    {
        this->store.requests[this->answered++]->respond({status, "", header_lines, body});
    }

    /*! @brief Waits for a request that starts over, and answers it with an empty page that ends at `end`. */
    void expect_newest(const std::string& header_lines, std::uint64_t end)
    {
        ASSERT_EQ(this->next_target(), "/log-newest?topic=keyed.t&part=0");
        this->answer(header_lines, newest_body(end));
    }

    /*! @brief Returns the number of logged events whose text begins with `prefix`. */
    [[nodiscard]] auto event_count(const std::string& prefix) const
    {
        return std::count_if(this->events.begin(), this->events.end(),
                             [&prefix](const auto& event) { return event.rfind(prefix, 0) == 0; });
    }

    static std::string read_from(std::uint64_t offset)
    {
        return "/log-read?topic=keyed.t&part=0&from=" + std::to_string(offset) + "&wait_ms=1000";
    }

    gateway_world world{};
    scripted_target store{this->world.loop};
    store_era era{};
    keyed_topic topic{this->world.loop, this->store.address, "keyed.t", this->era};
    std::function<void(bool, const std::string&, const std::string&)> record_event{
        [this](bool, const std::string& event, const std::string& fields) {
            this->events.push_back(event + " " + fields);
        }};
    std::function<void()> on_era{};
    std::vector<std::uint64_t> eras{};
    std::vector<std::string> values{};
    /*! @brief Value of records that cannot be used. */
    std::string unusable{"unusable"};
    std::vector<bool> accesses{};
    std::vector<std::string> events{};
    std::size_t answered{};
};

const std::string era_3 = "Store-Era: 3\r\n";
const std::string era_4 = "Store-Era: 4\r\n";
const std::string era_5 = "store-era: 5\r\n";

TEST_F(keyed_topic_reader, long_poll_answered_in_a_later_era_is_not_a_continuation)
{
    this->subscribe();
    this->expect_newest(era_3, 7);
    ASSERT_EQ(this->next_target(), read_from(7));
    this->answer(era_4, records_body(9, {"refilled-7", "refilled-8"}));
    this->expect_newest(era_4, 9);
    EXPECT_EQ(this->next_target(), read_from(9));
    EXPECT_EQ(this->values, std::vector<std::string>{});
    EXPECT_EQ(this->eras, (std::vector<std::uint64_t>{3, 4}));
}

// Guards against a reader that waits on a connection which died without a reset, or that takes it for a store
// which cannot be read.
TEST_F(keyed_topic_reader, poll_without_an_answer_is_followed_by_a_read_on_a_new_connection)
{
    this->subscribe();
    this->expect_newest(era_3, 7);
    ASSERT_EQ(this->next_target(), read_from(7));
    const auto asked_at = boot_now();
    ++this->answered;
    ASSERT_EQ(this->next_target(), "/log-read?topic=keyed.t&part=0&from=7&wait_ms=0");
    EXPECT_LE(boot_now() - asked_at, milliseconds{1'800});
    this->answer(era_3, records_body(8, {"new"}));
    ASSERT_EQ(this->next_target(), read_from(8));
    EXPECT_EQ(this->values, std::vector<std::string>{"new"});
    EXPECT_TRUE(this->accesses.empty());
}

TEST_F(keyed_topic_reader, page_in_a_later_era_than_the_page_before_starts_the_read_over)
{
    this->subscribe();
    ASSERT_EQ(this->next_target(), "/log-newest?topic=keyed.t&part=0");
    this->answer(era_3, newest_body(40, "a", true));
    ASSERT_EQ(this->next_target(), "/log-newest?topic=keyed.t&part=0&after=a");
    this->answer(era_4, newest_body(12));
    this->expect_newest(era_4, 13);
    EXPECT_EQ(this->next_target(), read_from(13));
}

TEST_F(keyed_topic_reader, era_that_rises_twice_in_a_row_starts_the_read_over_each_time)
{
    this->subscribe();
    this->expect_newest(era_3, 7);
    ASSERT_EQ(this->next_target(), read_from(7));
    this->answer(era_4, records_body(7, {}));
    ASSERT_EQ(this->next_target(), "/log-newest?topic=keyed.t&part=0");
    this->answer(era_4, newest_body(5, "a", true));
    ASSERT_EQ(this->next_target(), "/log-newest?topic=keyed.t&part=0&after=a");
    this->answer(era_5, newest_body(4));
    this->expect_newest(era_5, 4);
    EXPECT_EQ(this->next_target(), read_from(4));
    EXPECT_EQ(this->eras, (std::vector<std::uint64_t>{3, 4, 5}));
}

TEST_F(keyed_topic_reader, answer_with_an_error_shows_the_later_era)
{
    this->subscribe();
    this->expect_newest(era_3, 7);
    ASSERT_EQ(this->next_target(), read_from(7));
    this->answer(era_4, "", 503);
    this->expect_newest(era_4, 6);
    EXPECT_EQ(this->next_target(), read_from(6));
}

TEST_F(keyed_topic_reader, read_after_a_failure_shows_the_later_era_although_no_record_is_new)
{
    this->subscribe();
    this->expect_newest(era_3, 7);
    ASSERT_EQ(this->next_target(), read_from(7));
    this->answer(era_3, "", 503);
    ASSERT_EQ(this->next_target(), "/log-read?topic=keyed.t&part=0&from=7&wait_ms=0");
    this->answer(era_4, records_body(7, {}));
    this->expect_newest(era_4, 7);
    EXPECT_EQ(this->next_target(), read_from(7));
}

TEST_F(keyed_topic_reader, era_seen_by_another_call_invalidates_the_offset_of_a_pending_long_poll)
{
    this->subscribe();
    this->expect_newest(era_3, 7);
    ASSERT_EQ(this->next_target(), read_from(7));
    http_message other_answer{};
    other_answer.fields = {{"Store-Era", "4"}};
    this->era.observe(other_answer);
    this->answer(era_3, records_body(8, {"late"}));
    this->expect_newest(era_4, 8);
    EXPECT_EQ(this->next_target(), read_from(8));
    EXPECT_EQ(this->values, std::vector<std::string>{});
}

TEST_F(keyed_topic_reader, restart_with_a_delay_makes_no_call_before_it_has_passed)
{
    this->on_era = [this] {
        if (this->eras.size() > 1) {
            this->topic.restart_after(milliseconds{200});
        }
    };
    this->subscribe();
    this->expect_newest(era_3, 7);
    ASSERT_EQ(this->next_target(), read_from(7));
    this->answer(era_4, records_body(8, {"refilled"}));
    this->world.run_for(milliseconds{120});
    EXPECT_EQ(this->store.requests.size(), this->answered);
    this->expect_newest(era_4, 8);
    EXPECT_EQ(this->next_target(), read_from(8));
}

TEST_F(keyed_topic_reader, restart_with_a_delay_reads_nothing_if_the_topic_is_not_followed)
{
    this->subscribe();
    this->expect_newest(era_3, 7);
    ASSERT_EQ(this->next_target(), read_from(7));
    this->topic.set_following(false);
    this->topic.restart_after(milliseconds{10});
    this->world.run_for(milliseconds{200});
    EXPECT_EQ(this->store.requests.size(), this->answered + 1);
}

TEST_F(keyed_topic_reader, expired_offset_without_a_new_era_starts_over_without_reading_the_body)
{
    this->subscribe();
    for (const std::string body : {R"({"first":9})", "{}", "", "\xff"}) {
        SCOPED_TRACE(body);
        this->expect_newest(era_3, 7);
        ASSERT_EQ(this->next_target(), read_from(7));
        this->answer(era_3, body, 410);
        this->expect_newest(era_3, 9);
        EXPECT_EQ(this->next_target(), read_from(9));
        this->topic.restart();
        ++this->answered;
    }
}

TEST_F(keyed_topic_reader, missing_malformed_or_lower_era_is_logged_once_and_changes_nothing)
{
    const std::map<std::string, std::string> headers{
        {"missing", ""}, {"malformed", "Store-Era: 4x\r\n"}, {"lower", "Store-Era: 2\r\n"}};
    this->subscribe();
    this->expect_newest(era_3, 7);
    std::uint64_t offset = 7;
    for (const auto& [name, line] : headers) {
        SCOPED_TRACE(name);
        for (int repeat = 0; repeat < 2; ++repeat) {
            ASSERT_EQ(this->next_target(), read_from(offset));
            this->answer(line, records_body(++offset, {name}));
        }
        ASSERT_EQ(this->next_target(), read_from(offset));
        EXPECT_EQ(this->event_count("store_era header=" + name), 1);
    }
    EXPECT_EQ(this->values.size(), 6U);
    EXPECT_EQ(this->eras, (std::vector<std::uint64_t>{3}));
    EXPECT_EQ(this->era.current(), 3U);
}

TEST_F(keyed_topic_reader, era_that_is_no_number_in_range_is_malformed)
{
    for (const std::string text : {"", "-4", "+4", "4.0", "0x4", "99999999999999999999", "four"}) {
        SCOPED_TRACE(text);
        http_message answer_without_era{};
        answer_without_era.fields = {{"Store-Era", text}};
        this->era.observe(answer_without_era);
        EXPECT_FALSE(this->era.current());
    }
    EXPECT_EQ(this->event_count("store_era header=malformed"), 1);
}

// Guards against a follower that has lost the store, stops following and never reports that the store is
// back.
TEST_F(keyed_topic_reader, reader_that_stops_following_during_a_failure_goes_on_until_a_read_succeeds)
{
    this->subscribe();
    this->expect_newest("", 5);
    ASSERT_EQ(this->next_target(), read_from(5));
    this->answer("", "", 503);
    ASSERT_NE(this->next_target(), "");
    this->topic.set_following(false);
    this->answer("", "", 503);
    EXPECT_EQ(this->accesses, std::vector<bool>{false});
    ASSERT_NE(this->next_target(), "");
    this->answer("", newest_body(5));
    EXPECT_TRUE(this->world.run_until([this] { return this->accesses.size() == 2U; }));
    EXPECT_TRUE(this->accesses.back());
    this->world.run_for(milliseconds{300});
    EXPECT_EQ(this->store.requests.size(), this->answered);
}

// Guards against nodes that apply each version of a quick succession while requests wait.
TEST_F(keyed_topic_reader, of_records_that_arrive_together_only_the_newest_is_passed_on)
{
    this->subscribe();
    this->expect_newest(era_3, 4);
    ASSERT_EQ(this->next_target(), read_from(4));
    this->answer(era_3, records_body(7, {"5", "6", "7"}));
    ASSERT_EQ(this->next_target(), read_from(7));
    EXPECT_EQ(this->values, (std::vector<std::string>{"7"}));
}

TEST_F(keyed_topic_reader, record_before_an_unusable_one_is_passed_on)
{
    this->subscribe();
    this->expect_newest(era_3, 4);
    ASSERT_EQ(this->next_target(), read_from(4));
    this->answer(era_3, records_body(7, {"5", "6", "unusable"}));
    ASSERT_EQ(this->next_target(), read_from(7));
    EXPECT_EQ(this->values, (std::vector<std::string>{"unusable", "6"}));
}

} // namespace
} // namespace kumquatdrift::platform
