#include <algorithm>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <kumquatdrift/config/records.hpp>
#include <kumquatdrift/config/recovery.hpp>
#include <kumquatdrift/config/version_gate.hpp>

#include <support/fuzz_main.hpp>

#include "config_fold_model.hpp"

namespace kumquatdrift::fuzz {

/*! @brief Kinds of operations. */
enum class action : int {
    /*! @brief An operator reads the offset of a document's last edit. */
    look,
    /*! @brief An operator appends an edit on the basis of what it has read. */
    edit,
    /*! @brief An operator appends an edit on the basis of the last edit. */
    fresh_edit,
    /*! @brief A patch of the base on the basis of the last edit. */
    patch,
    /*! @brief An earlier record is appended again. */
    copy,
    /*! @brief Text that is no record. */
    garbage,
    /*! @brief A checkpoint of the current state. */
    checkpoint,
    /*! @brief A node takes the value of a checkpoint and pauses. */
    prepare_checkpoint,
    /*! @brief The paused node resumes and appends its checkpoint. */
    late_checkpoint,
    /*! @brief A checkpoint with a wrong digest. */
    corrupt_checkpoint,
    /*! @brief The oldest records expire. */
    expire,
    /*! @brief A reader folds some records, or starts. */
    read,
    /*! @brief A reader loses its state. */
    crash,
    /*! @brief A reader is offered an older version. */
    offer_old,
    count,
};

/*! @brief One operation with its random choices. */
struct operation {
    action what{};
    int actor{};
    int choice{};
    int detail{};
};

std::ostream& operator<<(std::ostream& out, const operation& operation)
{
    return out << static_cast<int>(operation.what) << '/' << operation.actor << '/' << operation.choice << '/'
               << operation.detail;
}

namespace {

constexpr int actor_count = 4;

/*! @brief A node that reads the log. Its gate stays with its proxies when the process restarts. */
struct reader {
    std::optional<config_state> state{};
    config_version floor{};
    std::unique_ptr<version_gate> gate{std::make_unique<version_gate>()};
};

/*! @brief The log, the nodes and the oracle. */
class world {
public:
    world()
    {
        this->versions.push_back(0);
        this->readers.resize(actor_count);
        this->seen.resize(actor_count);
    }

    void run(const operation& next)
    {
        const auto chosen = next.choice % (overlay_count + 1);
        switch (next.what) {
        case action::look:
            this->seen[index(next.actor)] = {chosen, this->oracle.last_edit(chosen)};
            return;
        case action::edit:
            this->append_edit(this->seen[index(next.actor)].first, this->seen[index(next.actor)].second, next,
                              false);
            return;
        case action::fresh_edit:
            this->append_edit(chosen, this->oracle.last_edit(chosen), next, false);
            return;
        case action::patch:
            this->append_edit(0, this->oracle.last_edit(0), next, true);
            return;
        case action::copy:
            if (!this->sent.empty()) {
                const auto copied = this->sent[static_cast<std::size_t>(next.detail) % this->sent.size()];
                this->append(copied.first, copied.second);
            }
            return;
        case action::garbage:
            this->append_garbage(next);
            return;
        case action::checkpoint:
            this->append_checkpoint(this->live);
            return;
        case action::prepare_checkpoint:
            this->paused = this->live;
            return;
        case action::late_checkpoint:
            this->append_checkpoint(this->paused);
            return;
        case action::corrupt_checkpoint:
            this->append_corrupt(next);
            return;
        case action::expire:
            this->expire(next);
            return;
        case action::read:
            this->read(this->readers[index(next.actor)], next);
            return;
        case action::crash:
            this->crash(this->readers[index(next.actor)]);
            return;
        case action::offer_old:
            this->offer_old(this->readers[index(next.actor)], next);
            return;
        case action::count:
            return;
        }
    }

    /*! @brief Ends the case with a record of a newer format, at which all readers must stop. */
    void finish()
    {
        this->records.push_back({this->end(), R"({"format":2,"kind":"edit"})"});
        const auto before = this->live;
        RC_ASSERT(fold(this->live, this->records.back()).kind == outcome_kind::unsupported);
        RC_ASSERT(this->live == before);
        this->records.push_back({this->end(), "later"});
        auto& node = this->readers.front();
        this->crash(node);
        this->read(node, {action::read, 0, 0, 0});
        // Not one expression, because RC_ASSERT evaluates both sides of its operators.
        if (node.state) {
            RC_ASSERT(*node.state == this->live);
        }
    }

    /*! @brief Returns the number of records folded, recovered states included. */
    [[nodiscard]] std::uint64_t folds() const
    {
        return this->folded;
    }

private:
    static std::size_t index(int actor)
    {
        return static_cast<std::size_t>(actor);
    }

    [[nodiscard]] log_offset end() const
    {
        return this->records.size();
    }

    [[nodiscard]] log_batch retained() const
    {
        return {{this->earliest, this->end()},
                {this->records.begin() + static_cast<std::ptrdiff_t>(this->earliest), this->records.end()}};
    }

    /*! @brief Appends a record, folds it at the live node and compares with the oracle. */
    void append(const std::string& payload, const model_record& meaning)
    {
        this->records.push_back({this->end(), payload});
        this->meanings.push_back(meaning);
        const auto expected = this->oracle.add(meaning);
        const auto outcome = fold(this->live, this->records.back());
        ++this->folded;
        if (outcome.kind != expected) {
            RC_LOG() << "offset " << outcome.offset << ": " << to_name(outcome.kind) << " instead of "
                     << to_name(expected) << ", " << outcome.reason << ", " << payload << std::endl;
        }
        RC_ASSERT(outcome.kind == expected);
        RC_ASSERT(this->live.version == this->oracle.version);
        RC_ASSERT(this->live.next_offset == this->end());
        this->versions.push_back(this->live.version);
        if (outcome.kind == outcome_kind::accepted) {
            this->compare_documents();
        }
    }

    void compare_documents() const
    {
        RC_ASSERT(this->live.documents.size() == this->oracle.documents.size());
        for (const auto& [number, entry] : this->oracle.documents) {
            const auto* const document = find_document(this->live, document_name(number));
            RC_ASSERT(document != nullptr);
            RC_ASSERT(document->offset == entry.offset);
            RC_ASSERT(document->content.text() == render(entry.content));
        }
    }

    static std::string document_name(int number)
    {
        return number == 0 ? std::string{base_document} : overlay_name("dc" + std::to_string(number));
    }

    static model_document make_content(const operation& from, bool may_remove)
    {
        model_document content;
        auto rest = from.detail;
        const auto draw = [&rest](int bound) {
            const auto drawn = rest % bound;
            rest /= bound;
            return drawn;
        };
        for (auto& service : content.services) {
            const auto drawn = draw(4);
            service = drawn == 0 ? absent : drawn == 1 && may_remove ? removed : 0;
        }
        for (auto& route : content.routes) {
            const auto drawn = draw(6);
            route = drawn < 3 ? drawn : drawn == 3 && may_remove ? removed : absent;
        }
        return content;
    }

    void append_edit(int document, std::int64_t parent, const operation& from, bool patch)
    {
        // One base edit in eight has a null member, which is invalid.
        const auto may_remove = document != 0 || patch || from.choice % 8 == 7;
        const auto content = make_content(from, may_remove);
        const model_record meaning{
            model_record::kind::edit, document, parent, this->next_id++, content, patch, 0};
        edit_record edit{.document = document_name(document),
                         .edit_id = "e" + std::to_string(meaning.edit_id)};
        if (parent >= 0) {
            edit.parent = static_cast<log_offset>(parent);
        }
        (patch ? edit.patch : edit.content) = *json_document::parse(render(content));
        const auto payload = make_edit_record(edit);
        this->sent.emplace_back(payload, meaning);
        this->append(payload, meaning);
    }

    void append_garbage(const operation& from)
    {
        static const std::vector<std::string> texts{
            "",
            "{",
            "[]",
            "null",
            "{\"format\":1}",
            "{\"format\":\"2\"}",
            "\xff\xfe",
            R"({"format":1,"kind":"edit"})",
            R"({"format":1,"kind":"edit","document":"base","parent":-2,"edit_id":"x","author":"","content":{}})",
            R"({"format":1,"kind":"edit","document":"bases","parent":-1,"edit_id":"x","author":"","content":{}})",
            R"({"format":1,"kind":"checkpoint","covers":0,"digest":"","state":{}})"};
        this->append(texts[static_cast<std::size_t>(from.detail) % texts.size()], {});
    }

    void append_checkpoint(const config_state& state)
    {
        model_record meaning;
        meaning.what = model_record::kind::checkpoint;
        meaning.covers = state.next_offset;
        this->append(make_checkpoint_record(state), meaning);
    }

    void append_corrupt(const operation& from)
    {
        auto payload = make_checkpoint_record(this->live);
        constexpr std::string_view member = "\"digest\":\"";
        constexpr int digest_digits = 16;
        const auto place =
            payload.find(member) + member.size() + static_cast<std::size_t>(from.detail % digest_digits);
        payload[place] = payload[place] == '0' ? '1' : '0';
        this->append(payload, {});
    }

    void expire(const operation& from)
    {
        const auto most = this->end() - this->earliest;
        this->earliest += most == 0 ? 0 : static_cast<log_offset>(from.detail) % (most + 1) / 2;
    }

    /*! @brief Checks whether a reader that starts now can recover. */
    [[nodiscard]] bool is_recoverable() const
    {
        if (this->earliest == 0) {
            return true;
        }
        for (auto offset = this->earliest; offset < this->meanings.size(); ++offset) {
            const auto& meaning = this->meanings[offset];
            if (meaning.what == model_record::kind::checkpoint && meaning.covers >= this->earliest) {
                return true;
            }
        }
        return false;
    }

    void read(reader& node, const operation& from)
    {
        if (!node.state || node.state->next_offset < this->earliest) {
            this->start(node, from);
        }
        else {
            const auto amount = static_cast<log_offset>(from.detail % 20);
            const auto until = std::min(this->end(), node.state->next_offset + amount);
            while (node.state->next_offset < until) {
                const auto& record = this->records[node.state->next_offset];
                ++this->folded;
                if (fold(*node.state, record).kind == outcome_kind::unsupported) {
                    break;
                }
            }
        }
        if (node.state) {
            this->check(node);
        }
    }

    void start(reader& node, const operation& from)
    {
        const auto start = from.choice % 2 == 0 ? recovery_start::latest : recovery_start::earliest;
        auto recovered = recover(this->retained(), start);
        RC_ASSERT(recovered.has_value() == this->is_recoverable());
        node.state.reset();
        if (recovered) {
            RC_ASSERT(recovered->state == this->live);
            this->folded += recovered->outcomes.size();
            node.state = std::move(recovered->state);
        }
    }

    /*! @brief Compares a reader with the live node and puts its version in force. */
    void check(reader& node)
    {
        const auto& state = *node.state;
        RC_ASSERT(state.version == this->versions[state.next_offset]);
        if (state.next_offset == this->live.next_offset) {
            RC_ASSERT(state == this->live);
        }
        const auto held = node.gate->in_force();
        const auto installed = node.gate->install(state.version);
        RC_ASSERT(installed.has_value() == (state.version > held && state.version >= node.floor));
        RC_ASSERT(node.gate->in_force() >= held);
    }

    /*! @brief Restarts a reader. Its peers still know which version it held. */
    void crash(reader& node)
    {
        node.floor = std::max(node.floor, node.gate->in_force());
        node.state.reset();
        node.gate = std::make_unique<version_gate>();
        node.gate->raise_floor(node.floor);
    }

    /*! @brief Offers a version that came late; it must not replace a higher one or go below the floor. */
    void offer_old(reader& node, const operation& from)
    {
        const auto held = node.gate->in_force();
        const auto offered = this->versions[static_cast<std::size_t>(from.detail) % this->versions.size()];
        const auto installed = node.gate->install(offered);
        RC_ASSERT(installed.has_value() == (offered > held && offered >= node.floor));
        RC_ASSERT(node.gate->in_force() == (installed ? offered : held));
    }

    std::vector<log_record> records{};
    std::vector<model_record> meanings{};
    std::vector<config_version> versions{};
    std::vector<std::pair<std::string, model_record>> sent{};
    std::vector<std::pair<int, std::int64_t>> seen{};
    std::vector<reader> readers{};
    log_offset earliest{};
    config_state live{};
    config_state paused{};
    model oracle{};
    int next_id{};
    std::uint64_t folded{};
};

/*! @brief Generates an operation; edits and reads are as likely as all others together. */
rc::Gen<operation> any_operation()
{
    const auto what = rc::gen::weightedElement<action>({{4, action::look},
                                                        {12, action::edit},
                                                        {20, action::fresh_edit},
                                                        {10, action::patch},
                                                        {6, action::copy},
                                                        {3, action::garbage},
                                                        {2, action::checkpoint},
                                                        {1, action::prepare_checkpoint},
                                                        {2, action::late_checkpoint},
                                                        {1, action::corrupt_checkpoint},
                                                        {1, action::expire},
                                                        {20, action::read},
                                                        {1, action::crash},
                                                        {4, action::offer_old}});
    constexpr int choices = 64;
    constexpr int details = 2304;
    return rc::gen::build<operation>(rc::gen::set(&operation::what, what),
                                     rc::gen::set(&operation::actor, rc::gen::inRange(0, actor_count)),
                                     rc::gen::set(&operation::choice, rc::gen::inRange(0, choices)),
                                     rc::gen::set(&operation::detail, rc::gen::inRange(0, details)));
}

void run_round(std::uint64_t seed, fuzz_budget& budget)
{
    constexpr int cases = 20;
    constexpr int longest_case = 600;
    check_property(seed, cases, longest_case, [&] {
        const auto operations = *rc::gen::container<std::vector<operation>>(any_operation());
        world tested;
        for (const auto& next : operations) {
            tested.run(next);
        }
        tested.finish();
        budget.count(tested.folds());
    });
}

} // namespace
} // namespace kumquatdrift::fuzz

int main(int argc, char** argv)
{
    return kumquatdrift::run_fuzz(argc, argv, "config_fold", kumquatdrift::fuzz::run_round);
}
