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

enum class action : int {
    /*! @brief An operator reads the offset of a document's last edit. */
    read_last_edit,
    /*! @brief An operator appends an edit whose parent is the last edit that it has read. */
    edit,
    /*! @brief An operator appends an edit whose parent is the current last edit. */
    fresh_edit,
    /*! @brief An operator appends a patch of the base whose parent is the current last edit. */
    patch,
    /*! @brief An earlier edit record is appended again. */
    duplicate_edit,
    /*! @brief A malformed record is appended. */
    malformed_record,
    /*! @brief A checkpoint of the current state is appended. */
    checkpoint,
    /*! @brief A node copies its state for a checkpoint and pauses before the append. */
    prepare_checkpoint,
    /*! @brief The paused node resumes and appends its checkpoint. */
    late_checkpoint,
    /*! @brief A checkpoint with a wrong digest is appended. */
    corrupt_checkpoint,
    /*! @brief The oldest records expire. */
    expire,
    /*! @brief A reader folds some records, or recovers its state if it has none. */
    read,
    /*! @brief A reader crashes and loses its state. */
    crash,
    /*! @brief A reader is offered an older version. */
    offer_older_version,
    count,
};

/*! @brief One operation with its random arguments. */
struct operation {
    action kind{};
    int actor{};
    int choice{};
    int detail{};
};

std::ostream& operator<<(std::ostream& out, const operation& operation)
{
    return out << static_cast<int>(operation.kind) << '/' << operation.actor << '/' << operation.choice << '/'
               << operation.detail;
}

namespace {

constexpr int actor_count = 4;

/*! @brief A node that reads the log. A restart replaces its gate; see `crash`. */
struct reader {
    std::optional<config_state> state{};
    config_version floor{};
    std::unique_ptr<version_gate> gate{std::make_unique<version_gate>()};
};

/*! @brief The log, the nodes and the reference model. */
class fold_world {
public:
    fold_world()
    {
        this->versions.push_back(0);
        this->readers.resize(actor_count);
        this->known_edits.resize(actor_count);
    }

    void apply(const operation& next)
    {
        const auto document = next.choice % (overlay_count + 1);
        switch (next.kind) {
        case action::read_last_edit:
            this->known_edits[index(next.actor)] = {document, this->expected_model.last_edit(document)};
            return;
        case action::edit:
            this->append_edit(this->known_edits[index(next.actor)].first,
                              this->known_edits[index(next.actor)].second, next, false);
            return;
        case action::fresh_edit:
            this->append_edit(document, this->expected_model.last_edit(document), next, false);
            return;
        case action::patch:
            this->append_edit(0, this->expected_model.last_edit(0), next, true);
            return;
        case action::duplicate_edit:
            if (!this->sent_edits.empty()) {
                const auto earlier =
                    this->sent_edits[static_cast<std::size_t>(next.detail) % this->sent_edits.size()];
                this->append(earlier.first, earlier.second);
            }
            return;
        case action::malformed_record:
            this->append_malformed_record(next);
            return;
        case action::checkpoint:
            this->append_checkpoint(this->current_state);
            return;
        case action::prepare_checkpoint:
            this->paused_state = this->current_state;
            return;
        case action::late_checkpoint:
            this->append_checkpoint(this->paused_state);
            return;
        case action::corrupt_checkpoint:
            this->append_corrupt_checkpoint(next);
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
        case action::offer_older_version:
            this->offer_older_version(this->readers[index(next.actor)], next);
            return;
        case action::count:
            return;
        }
    }

    /*! @brief Appends a record of a newer format and checks that the fold stops there. */
    void check_newer_format()
    {
        this->records.push_back({this->end(), R"({"format":2,"kind":"edit"})"});
        const auto before = this->current_state;
        RC_ASSERT(fold(this->current_state, this->records.back()).kind == outcome_kind::unsupported);
        RC_ASSERT(this->current_state == before);
        this->records.push_back({this->end(), "later"});
        auto& node = this->readers.front();
        this->crash(node);
        this->read(node, {action::read, 0, 0, 0});
        // A separate `if`, because RC_ASSERT evaluates both operands of `&&` and `||`.
        if (node.state) {
            RC_ASSERT(*node.state == this->current_state);
        }
    }

    /*! @brief Returns the number of folded records, including those folded by a recovery. */
    [[nodiscard]] std::uint64_t folds() const
    {
        return this->folded_records;
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

    /*! @brief Appends a record, folds it into the current state and compares the result with the model. */
    void append(const std::string& payload, const model_record& modelled)
    {
        this->records.push_back({this->end(), payload});
        this->modelled_records.push_back(modelled);
        const auto expected = this->expected_model.apply(modelled);
        const auto outcome = fold(this->current_state, this->records.back());
        ++this->folded_records;
        if (outcome.kind != expected) {
            RC_LOG() << "offset " << outcome.offset << ": " << to_name(outcome.kind) << " instead of "
                     << to_name(expected) << ", " << outcome.reason << ", " << payload << std::endl;
        }
        RC_ASSERT(outcome.kind == expected);
        RC_ASSERT(this->current_state.version == this->expected_model.version);
        RC_ASSERT(this->current_state.next_offset == this->end());
        this->versions.push_back(this->current_state.version);
        if (outcome.kind == outcome_kind::accepted) {
            this->compare_documents();
        }
    }

    void compare_documents() const
    {
        RC_ASSERT(this->current_state.documents.size() == this->expected_model.documents.size());
        for (const auto& [number, entry] : this->expected_model.documents) {
            const auto* const document = find_document(this->current_state, document_name(number));
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
        // One base edit in eight may contain a null member, which is invalid in a base document.
        const auto may_remove = document != 0 || patch || from.choice % 8 == 7;
        const auto content = make_content(from, may_remove);
        const model_record modelled{
            model_record::kind::edit, document, parent, this->next_id++, content, patch, 0};
        edit_record edit{.document = document_name(document),
                         .edit_id = "e" + std::to_string(modelled.edit_id)};
        if (parent >= 0) {
            edit.parent = static_cast<log_offset>(parent);
        }
        (patch ? edit.patch : edit.content) = *json_document::parse(render(content));
        const auto payload = make_edit_record(edit);
        this->sent_edits.emplace_back(payload, modelled);
        this->append(payload, modelled);
    }

    void append_malformed_record(const operation& from)
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
        model_record modelled;
        modelled.type = model_record::kind::checkpoint;
        modelled.covers = state.next_offset;
        this->append(make_checkpoint_record(state), modelled);
    }

    void append_corrupt_checkpoint(const operation& from)
    {
        auto payload = make_checkpoint_record(this->current_state);
        constexpr std::string_view member = "\"digest\":\"";
        constexpr int digest_digits = 16;
        const auto place =
            payload.find(member) + member.size() + static_cast<std::size_t>(from.detail % digest_digits);
        payload[place] = payload[place] == '0' ? '1' : '0';
        this->append(payload, {});
    }

    void expire(const operation& from)
    {
        const auto retained_count = this->end() - this->earliest;
        this->earliest +=
            retained_count == 0 ? 0 : static_cast<log_offset>(from.detail) % (retained_count + 1) / 2;
    }

    /*! @brief Checks whether a reader without state can recover it from the retained records. */
    [[nodiscard]] bool is_recoverable() const
    {
        if (this->earliest == 0) {
            return true;
        }
        for (auto offset = this->earliest; offset < this->modelled_records.size(); ++offset) {
            const auto& modelled = this->modelled_records[offset];
            if (modelled.type == model_record::kind::checkpoint && modelled.covers >= this->earliest) {
                return true;
            }
        }
        return false;
    }

    void read(reader& node, const operation& from)
    {
        if (!node.state || node.state->next_offset < this->earliest) {
            this->recover_state(node, from);
        }
        else {
            const auto count = static_cast<log_offset>(from.detail % 20);
            const auto until = std::min(this->end(), node.state->next_offset + count);
            while (node.state->next_offset < until) {
                const auto& record = this->records[node.state->next_offset];
                ++this->folded_records;
                if (fold(*node.state, record).kind == outcome_kind::unsupported) {
                    break;
                }
            }
        }
        if (node.state) {
            this->check_and_install(node);
        }
    }

    void recover_state(reader& node, const operation& from)
    {
        const auto start = from.choice % 2 == 0 ? recovery_start::latest : recovery_start::earliest;
        auto recovered = recover(this->retained(), start);
        RC_ASSERT(recovered.has_value() == this->is_recoverable());
        node.state.reset();
        if (recovered) {
            RC_ASSERT(recovered->state == this->current_state);
            this->folded_records += recovered->outcomes.size();
            node.state = std::move(recovered->state);
        }
    }

    /*! @brief Compares the state of a reader with the expected one and installs its version. */
    void check_and_install(reader& node)
    {
        const auto& state = *node.state;
        RC_ASSERT(state.version == this->versions[state.next_offset]);
        if (state.next_offset == this->current_state.next_offset) {
            RC_ASSERT(state == this->current_state);
        }
        const auto previous = node.gate->in_force();
        const auto installed = node.gate->install(state.version);
        RC_ASSERT(installed.has_value() == (state.version > previous && state.version >= node.floor));
        RC_ASSERT(node.gate->in_force() >= previous);
    }

    /*! @brief Restarts a reader. Its peers still know its version, which becomes its version floor. */
    void crash(reader& node)
    {
        node.floor = std::max(node.floor, node.gate->in_force());
        node.state.reset();
        node.gate = std::make_unique<version_gate>();
        node.gate->raise_floor(node.floor);
    }

    /*! @brief Offers a delayed version, which must not replace a higher one or be below the floor. */
    void offer_older_version(reader& node, const operation& from)
    {
        const auto previous = node.gate->in_force();
        const auto offered = this->versions[static_cast<std::size_t>(from.detail) % this->versions.size()];
        const auto installed = node.gate->install(offered);
        RC_ASSERT(installed.has_value() == (offered > previous && offered >= node.floor));
        RC_ASSERT(node.gate->in_force() == (installed ? offered : previous));
    }

    std::vector<log_record> records{};
    std::vector<model_record> modelled_records{};
    std::vector<config_version> versions{};
    std::vector<std::pair<std::string, model_record>> sent_edits{};
    std::vector<std::pair<int, std::int64_t>> known_edits{};
    std::vector<reader> readers{};
    log_offset earliest{};
    config_state current_state{};
    config_state paused_state{};
    model expected_model{};
    int next_id{};
    std::uint64_t folded_records{};
};

/*! @brief Generates an operation. Edits, patches and reads are drawn more often than the others. */
rc::Gen<operation> any_operation()
{
    const auto kind = rc::gen::weightedElement<action>({{4, action::read_last_edit},
                                                        {12, action::edit},
                                                        {20, action::fresh_edit},
                                                        {10, action::patch},
                                                        {6, action::duplicate_edit},
                                                        {3, action::malformed_record},
                                                        {2, action::checkpoint},
                                                        {1, action::prepare_checkpoint},
                                                        {2, action::late_checkpoint},
                                                        {1, action::corrupt_checkpoint},
                                                        {1, action::expire},
                                                        {20, action::read},
                                                        {1, action::crash},
                                                        {4, action::offer_older_version}});
    constexpr int choices = 64;
    constexpr int details = 2304; // 4^3 * 6^2: `make_content` draws 3 services and 2 routes
    return rc::gen::build<operation>(rc::gen::set(&operation::kind, kind),
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
        fold_world tested;
        for (const auto& next : operations) {
            tested.apply(next);
        }
        tested.check_newer_format();
        budget.count(tested.folds());
    });
}

} // namespace
} // namespace kumquatdrift::fuzz

int main(int argc, char** argv)
{
    return kumquatdrift::run_fuzz(argc, argv, "fuzz_config_fold", kumquatdrift::fuzz::run_round);
}
