#include "experiments/bench/experiment.hpp"

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>

int main(int argument_count, char** arguments)
{
    CLI::App app(
        "Runs an experiment with all processes on the loopback interface");
    std::string name;
    app.add_option("name", name, "Name of the experiment")->required();
    CLI11_PARSE(app, argument_count, arguments);
    const auto& experiments = chicory::bench::experiments();
    const auto found = experiments.find(name);
    if (found == experiments.end())
    {
        std::cerr << "unknown experiment \"" << name << "\"; expected one of";
        for (const auto& [experiment_name, run] : experiments)
        {
            std::cerr << " " << experiment_name;
        }
        std::cerr << "\n";
        return 2;
    }
    chicory::bench::experiment_report report;
    found->second(report);
    std::cout << report.format(name) << std::flush;
    return 0;
}
