#ifndef KUMQUATDRIFT_TESTS_SUPPORT_MESH_PUMP_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_MESH_PUMP_HPP

#include <functional>
#include <map>
#include <membership/exchange.hpp>
#include <string>
#include <vector>

namespace kumquatdrift {

/*! @brief A node. Datagrams to a frozen node are delivered when it wakes. */
struct pump_node {
    std::string data_centre{};
    membership_state state{};
    bool running{true};
    bool frozen{};
    int side{};
    std::uint64_t starts{};
};

/*! @brief In-memory fake of the gossip and exchange ports for many nodes, with a test clock. */
struct mesh_pump {
    std::vector<pump_node> nodes{};
    membership_settings settings{};
    random_engine rng{1};
    timestamp now{milliseconds{1'000'000}};
    std::uint32_t loss_percent{}, duplicate_percent{};
    milliseconds jitter{1};
    std::size_t largest{};
    std::uint64_t decisions{};
    std::function<bool(const pump_node& from, const pump_node& to)> blocked{};
    std::multimap<timestamp, std::function<void()>> wire{};

    /*! @brief Adds a node; all nodes have node 0 as their seed. */
    std::size_t add(const std::string& data_centre)
    {
        this->nodes.push_back({data_centre});
        this->restart(this->nodes.size() - 1);
        return this->nodes.size() - 1;
    }

    /*! @brief Starts a new process of a node, alive and with one ready target. */
    void restart(std::size_t index)
    {
        auto& node = this->nodes[index];
        member_record self;
        self.node = node.data_centre + "-" + std::to_string(index);
        self.data_centre = node.data_centre;
        self.start_time = 1'790'000'000'000'000 + ++node.starts * 1'000'000;
        self.ip = "10.0.0.1";
        self.gossip_port = static_cast<std::uint16_t>(index + 1);
        self.state = member_state::alive;
        self.targets = {{"target-1", "queue-board", "127.0.0.1:9000", 10, target_state::ready}};
        this->settings.seeds = {{"10.0.0.1", 1}};
        node.state = *make_membership_state(this->settings, self, this->now);
        node.running = true;
        node.frozen = false;
    }

    void publish(std::size_t index, const std::function<void(member_record&)>& change)
    {
        auto& state = this->nodes[index].state;
        auto content = state.members.at(state.self).record;
        change(content);
        static_cast<void>(update_self(state, content, this->now));
    }

    /*! @brief Runs all nodes for a time, or until `done` holds. Returns whether it holds. */
    bool run(milliseconds duration, const std::function<bool()>& done)
    {
        for (const auto end = this->now + duration; this->now < end && !done();) {
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                this->step(index);
            }
            const auto next = this->now + this->settings.tick_period;
            while (!this->wire.empty() && this->wire.begin()->first <= next) {
                const auto event = this->wire.extract(this->wire.begin());
                this->now = event.key();
                event.mapped()();
            }
            this->now = next;
        }
        return done();
    }

    [[nodiscard]] bool connected(std::size_t from, std::size_t to) const
    {
        const auto& all = this->nodes;
        return to < all.size() && nodes[from].side == nodes[to].side && nodes[to].running &&
               !(this->blocked && this->blocked(all[from], all[to]));
    }

    void send(std::size_t from, const std::vector<outgoing>& messages)
    {
        for (const auto& message : messages) {
            this->largest = std::max(this->largest, message.bytes.size());
            const auto copies = this->rng() % 100 < this->duplicate_percent ? 2U : 1U;
            for (auto copy = 0U; copy < copies && this->rng() % 100 >= this->loss_percent; ++copy) {
                const auto delay = full_jitter(this->rng, this->jitter);
                this->schedule(from, message.to.port - 1U, message.bytes, delay);
            }
        }
    }

    void schedule(std::size_t from, std::size_t to, const std::string& bytes, microseconds delay)
    {
        this->wire.emplace(this->now + delay, [this, from, to, bytes] {
            if (!this->connected(from, to) || this->nodes[to].frozen) {
                return this->connected(from, to) ? this->schedule(from, to, bytes, milliseconds{50}) : void();
            }
            const gossip_address sender{"10.0.0.1", static_cast<std::uint16_t>(from + 1)};
            ++this->decisions;
            this->send(to, on_datagram(this->nodes[to].state, {sender, bytes}, this->now, this->rng));
        });
    }

    void step(std::size_t index)
    {
        auto& node = this->nodes[index];
        if (!node.running || node.frozen) {
            return;
        }
        ++this->decisions;
        this->send(index, on_tick(node.state, this->now, this->rng));
        if (const auto peer = internal::next_exchange_peer(node.state, this->now, this->rng)) {
            this->exchange(index, peer->gossip_port - 1U);
        }
    }

    void exchange(std::size_t from, std::size_t to)
    {
        auto& client = this->nodes[from].state;
        const auto request = internal::begin_exchange(client, this->now);
        if (!this->connected(from, to) || this->nodes[to].frozen) {
            return internal::fail_exchange(client, this->now);
        }
        auto& server = this->nodes[to].state;
        const auto reply = internal::answer_sync(server, request, this->now, this->rng);
        const auto step = internal::continue_exchange(client, *reply, this->now);
        const auto& next = step->request;
        const auto fetched = next ? internal::answer_fetch(server, *next, this->now).value() : std::nullopt;
        internal::finish_exchange(client, fetched, step->truncated, this->now);
    }
};

} // namespace kumquatdrift

#endif
