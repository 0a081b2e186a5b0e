#ifndef KUMQUATDRIFT_TESTS_SUPPORT_SIMULATED_MESH_HPP
#define KUMQUATDRIFT_TESTS_SUPPORT_SIMULATED_MESH_HPP

#include <functional>
#include <map>
#include <membership/exchange.hpp>
#include <string>
#include <vector>

namespace kumquatdrift {

/*! @brief A simulated node. */
struct simulated_node {
    std::string data_centre{};
    membership_state state{};
    bool running{true};
    /*! @brief True while the process is paused. Datagrams to it are delivered when it resumes. */
    bool paused{};
    /*! @brief Network partition of the node. Nodes in different partitions cannot communicate. */
    int partition{};
    /*! @brief Number of process starts. */
    std::uint64_t start_count{};
};

/*! @brief Simulates many nodes with an in-memory network for gossip and exchanges, on a test clock. */
struct simulated_mesh {
    std::vector<simulated_node> nodes{};
    membership_settings settings{};
    random_engine rng{1};
    timestamp now{milliseconds{1'000'000}};
    std::uint32_t loss_percent{}, duplicate_percent{};
    /*! @brief Maximum random delay of a datagram. */
    milliseconds jitter{1};
    /*! @brief Size of the largest datagram sent, in bytes. */
    std::size_t largest_datagram{};
    /*! @brief Number of handled ticks and datagrams. */
    std::uint64_t handled_events{};
    /*! @brief Optional filter; returns true if messages of the first node must not reach the second. */
    std::function<bool(const simulated_node& from, const simulated_node& to)> is_blocked{};
    /*! @brief Deliveries of the datagrams in transit, by due time. */
    std::multimap<timestamp, std::function<void()>> in_transit{};

    /*! @brief Adds and starts a node, and returns its index. The seed of all nodes is node 0. */
    std::size_t add(const std::string& data_centre)
    {
        this->nodes.push_back({data_centre});
        this->restart(this->nodes.size() - 1);
        return this->nodes.size() - 1;
    }

    /*! @brief Starts a new process of a node, in state `alive` and with one ready target. */
    void restart(std::size_t index)
    {
        auto& node = this->nodes[index];
        member_record self;
        self.node = node.data_centre + "-" + std::to_string(index);
        self.data_centre = node.data_centre;
        self.start_time = 1'790'000'000'000'000 + ++node.start_count * 1'000'000;
        self.ip = "10.0.0.1";
        self.gossip_port = static_cast<std::uint16_t>(index + 1);
        self.state = member_state::alive;
        self.targets = {{"target-1", "queue-board", "127.0.0.1:9000", 10, target_state::ready}};
        this->settings.seeds = {{"10.0.0.1", 1}};
        node.state = *make_membership_state(this->settings, self, this->now);
        node.running = true;
        node.paused = false;
    }

    /*! @brief Applies a change to a node's own record and publishes it. */
    void publish(std::size_t index, const std::function<void(member_record&)>& change)
    {
        auto& state = this->nodes[index].state;
        auto content = state.members.at(state.self).record;
        change(content);
        static_cast<void>(update_self(state, content, this->now));
    }

    /*! @brief Runs all nodes for a duration or until `done` returns true, and returns its last result. */
    bool run(milliseconds duration, const std::function<bool()>& done)
    {
        for (const auto end = this->now + duration; this->now < end && !done();) {
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                this->step(index);
            }
            const auto next = this->now + this->settings.tick_period;
            while (!this->in_transit.empty() && this->in_transit.begin()->first <= next) {
                const auto event = this->in_transit.extract(this->in_transit.begin());
                this->now = event.key();
                event.mapped()();
            }
            this->now = next;
        }
        return done();
    }

    /*! @brief Checks whether messages from a node reach a running process of another. */
    [[nodiscard]] bool connected(std::size_t from, std::size_t to) const
    {
        const auto& all = this->nodes;
        return to < all.size() && nodes[from].partition == nodes[to].partition && nodes[to].running &&
               !(this->is_blocked && this->is_blocked(all[from], all[to]));
    }

    /*! @brief Sends datagrams with the loss, duplication and delay of the network. */
    void send(std::size_t from, const std::vector<outgoing>& messages)
    {
        for (const auto& message : messages) {
            this->largest_datagram = std::max(this->largest_datagram, message.bytes.size());
            const auto copies = this->rng() % 100 < this->duplicate_percent ? 2U : 1U;
            for (auto copy = 0U; copy < copies && this->rng() % 100 >= this->loss_percent; ++copy) {
                const auto delay = full_jitter(this->rng, this->jitter);
                this->schedule(from, message.to.port - 1U, message.bytes, delay);
            }
        }
    }

    /*! @brief Delivers a datagram after a delay. While the receiver is paused, retries every 50 ms. */
    void schedule(std::size_t from, std::size_t to, const std::string& bytes, microseconds delay)
    {
        this->in_transit.emplace(this->now + delay, [this, from, to, bytes] {
            if (!this->connected(from, to) || this->nodes[to].paused) {
                return this->connected(from, to) ? this->schedule(from, to, bytes, milliseconds{50}) : void();
            }
            const gossip_address sender{"10.0.0.1", static_cast<std::uint16_t>(from + 1)};
            ++this->handled_events;
            this->send(to, on_datagram(this->nodes[to].state, {sender, bytes}, this->now, this->rng));
        });
    }

    /*! @brief Runs one tick of a node and starts an exchange if one is due. */
    void step(std::size_t index)
    {
        auto& node = this->nodes[index];
        if (!node.running || node.paused) {
            return;
        }
        ++this->handled_events;
        this->send(index, on_tick(node.state, this->now, this->rng));
        if (const auto peer = internal::next_exchange_peer(node.state, this->now, this->rng)) {
            this->exchange(index, peer->gossip_port - 1U);
        }
    }

    /*! @brief Runs a complete exchange of records between two nodes. */
    void exchange(std::size_t from, std::size_t to)
    {
        auto& client = this->nodes[from].state;
        const auto request = internal::begin_exchange(client, this->now);
        if (!this->connected(from, to) || this->nodes[to].paused) {
            return internal::fail_exchange(client, this->now);
        }
        auto& server = this->nodes[to].state;
        const auto response = internal::handle_sync(server, request, this->now, this->rng);
        const auto step = internal::continue_exchange(client, *response, this->now);
        const auto& next = step->request;
        const auto fetched = next ? internal::handle_fetch(server, *next, this->now).value() : std::nullopt;
        internal::finish_exchange(client, fetched, step->truncated, this->now);
    }
};

} // namespace kumquatdrift

#endif
