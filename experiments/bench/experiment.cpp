#include "experiments/bench/experiment.hpp"

#include <cstdlib>
#include <iomanip>
#include <iostream>

namespace chicory::bench
{

namespace
{

const std::string service = "llm";
const std::string route = "letters";
const std::string key = "experiment-key";
const std::vector<std::string> zones{"krems", "stpoelten", "wien", "tulln"};

} // namespace

void experiment_report::add_line(const std::string& line)
{
    this->lines += line + "\n";
    std::cerr << line << std::endl;
}

void experiment_report::add_figure(const std::string& name, double value)
{
    this->figures.emplace_back(name, value);
}

std::string experiment_report::format(const std::string& name) const
{
    std::ostringstream text;
    text << this->lines << name << std::fixed << std::setprecision(3);
    for (const auto& [figure_name, value] : this->figures)
    {
        text << " " << figure_name << "=" << value;
    }
    return text.str() + "\n";
}

std::unique_ptr<process::fleet>
start_fleet(const std::string& name, const fleet_plan& plan)
{
    std::unique_ptr<process::fleet> fleet =
        std::make_unique<process::fleet>("experiment-" + name, 1);
    for (std::size_t index = 0; index < plan.runners; ++index)
    {
        fleet->add_runner(service, zones[index % zones.size()], plan.options);
    }
    fleet->set_gate_lines(plan.gate_lines);
    for (std::size_t index = 0; index < plan.entry_vms; ++index)
    {
        fleet->add_entry_vm(zones[index % zones.size()]);
    }
    fleet->publish_vms();
    const bool configured =
        fleet->set_pool(
            service,
            {"service=" + service,
             "slots_per_runner=" + std::to_string(plan.options.slots),
             "harm_weight=" + std::to_string(plan.harm_weight)}) == 0 &&
        fleet->set_route(
            route,
            {"member=kremstal", "pool=" + service, process::key_digest(key)}) ==
            0;
    return configured && fleet->wait_until_serving(route, key)
               ? std::move(fleet)
               : nullptr;
}

load::load_plan make_plan(process::fleet& target, std::uint64_t seed)
{
    load::load_plan plan;
    for (std::size_t index = 0; index < target.entry_count(); ++index)
    {
        plan.entries.push_back({"127.0.0.1", target.entry(index).gate_http});
    }
    plan.seed = seed;
    return plan;
}

load::online_source make_online(double rate_per_s, std::int64_t tokens)
{
    load::online_source source;
    source.route = route;
    source.key = key;
    source.arrivals.rate_per_s = rate_per_s;
    source.tokens = tokens;
    return source;
}

load::batch_source make_batch(std::int64_t items, std::int64_t tokens)
{
    load::batch_source source;
    source.route = route;
    source.key = key;
    source.items = items;
    source.tokens = tokens;
    return source;
}

load::load_report run_load_or_exit(const load::load_plan& plan)
{
    const result<load::load_report> load_result = load::run_load(plan);
    if (!load_result)
    {
        std::cerr << load_result.error().text << std::endl;
        std::exit(1);
    }
    return load_result.value();
}

double read_counter(const std::string& text, const std::string& name)
{
    const std::string start = "\n" + name + " ";
    const std::size_t found = ("\n" + text).find(start);
    return found == std::string::npos
               ? 0.0
               : std::stod(text.substr(found + start.size() - 1));
}

const std::map<std::string, std::function<void(experiment_report&)>>&
experiments()
{
    static const std::map<std::string, std::function<void(experiment_report&)>>
        all{{"harm", run_harm},
            {"yield", run_yield},
            {"failover", run_failover},
            {"overhead", run_overhead},
            {"spread", run_spread},
            {"retry", run_retry},
            {"control", run_control},
            {"claims", run_claims},
            {"ownership", run_ownership},
            {"timeline", run_timeline},
            {"big_job", run_big_job},
            {"token_cost", run_token_cost}};
    return all;
}

} // namespace chicory::bench
