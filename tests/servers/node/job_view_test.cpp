#include "servers/node/job_records.hpp"
#include "servers/node/job_view.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicory::node
{

namespace
{

constexpr std::size_t node_count = 3;

serving::job_record make_job(int number)
{
    serving::job_record job;
    job.id = "j1";
    job.route = "letters";
    job.owner = std::to_string(number);
    job.tokens = {100};
    job.accepted_ms = 1;
    return job;
}

ports::record make_row(int number, std::int64_t version)
{
    return {
        std::string(job_table),
        "p",
        "j1",
        serving::encode_job(make_job(number)),
        version,
        false};
}

/// A write that was sent and, once the store has performed it, its response.
struct sent_write
{
    int number = 0;
    int based_on = 0;
    std::int64_t required = 0;
    serving::version_range when_sent;
    std::optional<bool> committed;
    std::vector<ports::record> returned;
};

struct model_node
{
    job_view view{[](const std::string&) {}};
    std::optional<sent_write> write;
    std::size_t seen_changes = 0;

    int number() const
    {
        return std::stoi(this->view.find("j1")->record.owner);
    }
};

/// A store with one job, three nodes that change it, and other writers.
class model
{
public:
    model()
    {
        for (model_node& node : this->nodes)
        {
            node.view.apply(this->row);
        }
    }

    void send(model_node& node)
    {
        if (node.write)
        {
            return;
        }
        const known_job& known = *node.view.find("j1");
        node.write.emplace();
        node.write->number = ++this->last_number;
        node.write->based_on = node.number();
        node.write->required = node.view.version_to_require(known.versions);
        node.write->when_sent = known.versions;
    }

    void perform(model_node& node)
    {
        if (!node.write || node.write->committed)
        {
            return;
        }
        sent_write& write = *node.write;
        write.committed = write.required == this->row.version;
        if (*write.committed)
        {
            // A write that is based on an earlier state undoes a change.
            this->has_undone =
                this->has_undone ||
                make_row(write.based_on, 0).value != this->row.value;
            this->row = make_row(write.number, ++this->version);
            this->changes.push_back(this->row);
        }
        else
        {
            write.returned = {this->row};
        }
    }

    /// The response states the version that is the newest now.
    void respond(model_node& node)
    {
        if (!node.write || !node.write->committed)
        {
            return;
        }
        const sent_write write = *node.write;
        node.write.reset();
        if (*write.committed)
        {
            node.view.adopt(
                "p",
                make_job(write.number),
                serving::version_range::of_write(
                    write.required, this->version));
            return;
        }
        node.view.apply_refusal("j1", write.when_sent, write.returned);
    }

    void follow(model_node& node)
    {
        if (node.seen_changes < this->changes.size())
        {
            node.view.apply(this->changes[node.seen_changes++]);
        }
    }

    std::array<model_node, node_count> nodes;
    std::int64_t version = 7;
    int last_number = 0;
    bool has_undone = false;
    ports::record row = make_row(0, 7);
    std::vector<ports::record> changes;
};

} // namespace

// Guards against a node that never again sees or changes a job. Writes of three
// nodes and of others, their responses and the changes that the nodes follow
// come in any order; responses are late or lost.
RC_GTEST_PROP(
    job_view, finds_back_to_the_store_after_any_order_of_responses, ())
{
    model played;
    const auto steps =
        *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
            rc::gen::inRange<int>(0, node_count), rc::gen::inRange(0, 6)));
    for (const auto& [number, step] : steps)
    {
        model_node& node = played.nodes.at(static_cast<std::size_t>(number));
        switch (step)
        {
        case 0:
            played.send(node);
            break;
        case 1:
            played.perform(node);
            break;
        case 2:
            played.respond(node);
            break;
        case 3:
            played.follow(node);
            break;
        case 4:
            ++played.version;
            break;
        default:
            // The response is lost, and the node reads the record.
            if (node.write && node.write->committed)
            {
                node.write.reset();
                node.view.apply(played.row);
            }
        }
    }
    for (model_node& node : played.nodes)
    {
        played.perform(node);
        played.respond(node);
    }
    for (model_node& node : played.nodes)
    {
        while (node.seen_changes < played.changes.size())
        {
            played.follow(node);
        }
        RC_ASSERT(
            std::to_string(node.number()) ==
            serving::decode_job("j1", played.row.value, 1).value().owner);
    }
    // A node needs one refusal at most to learn the version.
    model_node& first = played.nodes.front();
    played.has_undone = false;
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        played.send(first);
        played.perform(first);
        played.respond(first);
    }
    RC_ASSERT(
        first.number() == played.last_number ||
        first.number() == played.last_number - 1);
    RC_ASSERT(!played.has_undone);
}

// Guards against a node that does not see the change of another one, whose
// version is below the one that a late response stated.
TEST(job_view, shows_a_change_below_the_version_of_a_late_response)
{
    job_view view([](const std::string&) {});
    view.adopt("p", make_job(1), serving::version_range::of_write(2, 9));
    view.apply(make_row(0, 2));
    EXPECT_EQ(view.find("j1")->record.owner, "1");
    view.apply(make_row(1, 4));
    view.apply(make_row(2, 6));
    EXPECT_EQ(view.find("j1")->record.owner, "2");
}

// Guards against a write that undoes the change of another node, whose version
// happens to be the one that a late response stated.
TEST(job_view, does_not_require_a_stated_version_that_may_be_of_another_write)
{
    job_view view([](const std::string&) {});
    const auto late = serving::version_range::of_write(2, 9);
    EXPECT_EQ(view.version_to_require(late), 9);
    view.adopt("p", make_job(1), late);
    view.apply(make_row(1, 5));
    EXPECT_EQ(view.version_to_require(view.find("j1")->versions), 5);
    EXPECT_EQ(
        view.version_to_require(serving::version_range::of_write(5, 9)), 6);
}

} // namespace chicory::node
