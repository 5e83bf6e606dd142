#ifndef CHICORY_TESTS_SERVERS_BATCH_TEST_PROCESS_HPP
#define CHICORY_TESTS_SERVERS_BATCH_TEST_PROCESS_HPP

#include "servers/batch/chunk_holder.hpp"
#include "tests/support/memory_platform.hpp"

#include <boost/asio/post.hpp>

#include <string>
#include <vector>

namespace chicory::batch
{

inline const lifecycles& test_charts()
{
    static const lifecycles loaded =
        load_lifecycles(std::string(CHICORY_SOURCE_DIR) + "/charts").value();
    return loaded;
}

/// Fake owner of the only runner, one for each process.
struct fake_owner
{
    /// While set, attempts get a response only from `respond_to_pending`.
    bool defers_responses = false;
    std::vector<wire::dispatch> received;
    std::vector<wire::dispatch> pending;
    std::vector<wire::cancel_attempt> cancelled;
};

/// A batch process with an I/O context of its own. The process is paused while
/// the test does not run this context.
class test_process
{
public:
    test_process(
        std::string name,
        testing_support::memory_table& service,
        testing_support::memory_objects& objects,
        lease_settings leases)
        : table(context.get_executor(), service, counters),
          commits(context.get_executor(), table, objects, counters),
          feeder(
              context.get_executor(),
              "v0",
              fleet,
              owners,
              table,
              commits,
              test_charts(),
              identifiers,
              counters),
          holder(
              context.get_executor(),
              std::move(name),
              table,
              objects,
              feeder,
              commits,
              test_charts(),
              identifiers,
              counters,
              leases)
    {
        this->fill_fleet();
        this->owners.set_local_hook(
            [this](const wire::message& value)
            {
                this->handle(value);
            });
        this->commits.set_resolved_hook(
            [this](const resolved_chunk& chunk)
            {
                this->resolved.push_back(chunk);
                this->holder.wake();
            });
        this->commits.start();
        this->feeder.start();
        this->holder.start();
    }

    void respond_to_pending()
    {
        for (const wire::dispatch& request :
             std::exchange(this->owner.pending, {}))
        {
            this->respond(request);
        }
    }

    boost::asio::io_context context;
    fake_owner owner;
    std::vector<resolved_chunk> resolved;
    metrics counters;
    identifier_source identifiers;
    dispatching::fleet_cache fleet;
    dispatching::dispatcher owners{context.get_executor(), fleet, "v0"};
    job_table table;
    commit_runner commits;
    item_feeder feeder;
    chunk_holder holder;

private:
    void fill_fleet()
    {
        configuration::table_set tables;
        tables.revision = 1;
        tables.pools["p"].name = "p";
        tables.pools["p"].service = "llm";
        tables.routes["r"].name = "r";
        tables.routes["r"].pool = "p";
        this->fleet.update_tables(tables);
        membership::fleet_view view;
        view.version = 1;
        view.vms.resize(2);
        view.vms[0].id = "v0";
        view.vms[1].id = "r0";
        view.vms[1].role = membership::vm_role::runner;
        view.vms[1].service = "llm";
        this->fleet.update_view(view);
    }

    void handle(const wire::message& value)
    {
        if (const auto* probe = std::get_if<wire::probe>(&value))
        {
            this->reply_to_probe(*probe);
        }
        if (const auto* cancel = std::get_if<wire::cancel_attempt>(&value))
        {
            this->owner.cancelled.push_back(*cancel);
        }
        if (const auto* request = std::get_if<wire::dispatch>(&value))
        {
            this->owner.received.push_back(*request);
            if (this->owner.defers_responses)
            {
                this->owner.pending.push_back(*request);
                return;
            }
            boost::asio::post(
                this->context,
                [this, request = *request]()
                {
                    this->respond(request);
                });
        }
    }

    void reply_to_probe(const wire::probe& probe)
    {
        constexpr std::int64_t slots = 8;
        wire::probe_reply reply;
        reply.probe_id = probe.probe_id;
        reply.pool = probe.pool;
        reply.runners.resize(1);
        reply.runners[0].runner = "r0";
        reply.runners[0].idle_batch_slots = slots;
        boost::asio::post(
            this->context,
            [this, reply]()
            {
                this->feeder.receive("v0", reply);
            });
    }

    void respond(const wire::dispatch& request)
    {
        const std::string body = "{}";
        wire::response_head head;
        head.request_id = request.request_id;
        head.attempt = request.attempt;
        head.status = 200;
        this->owners.receive("v0", head);
        wire::response_frame frame;
        frame.request_id = request.request_id;
        frame.attempt = request.attempt;
        frame.bytes = body;
        this->owners.receive("v0", frame);
        wire::response_end end;
        end.request_id = request.request_id;
        end.attempt = request.attempt;
        end.length = body.size();
        this->owners.receive("v0", end);
    }
};

} // namespace chicory::batch

#endif
