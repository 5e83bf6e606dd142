#include "tests/faults/matrix/batch_cell.hpp"
#include "tests/faults/matrix/control_cell.hpp"
#include "tests/faults/matrix/matrix_table.hpp"
#include "tests/faults/matrix/online_cell.hpp"

#include <boost/json.hpp>

#include <CLI/CLI.hpp>

#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace
{

namespace faults = chicory::faults;

/// Prints one JSON line for each cell.
void list_cells(const std::vector<faults::matrix_cell>& cells)
{
    for (const faults::matrix_cell& cell : cells)
    {
        boost::json::object line;
        line["cell"] = cell.name();
        line["not_applicable"] =
            std::string(faults::get_exclusion_reason(cell));
        line["ci"] = faults::is_in_ci(cell);
        std::cout << boost::json::serialize(line) << "\n";
    }
}

faults::cell_result
run_cell(const faults::matrix_cell& cell, std::uint64_t seed)
{
    switch (cell.step.path)
    {
    case faults::matrix_path::online:
        return faults::run_online_cell(cell, seed);
    case faults::matrix_path::batch:
        return faults::run_batch_cell(cell, seed);
    case faults::matrix_path::control:
        return faults::run_control_cell(cell, seed);
    }
    return {};
}

} // namespace

int main(int argument_count, char** arguments)
{
    CLI::App app("Runs one cell of the fault matrix, or lists all cells");
    std::string name;
    std::uint64_t seed = 1;
    std::size_t pairs = 0;
    bool list = false;
    app.add_option("--cell", name, "PATH/STEP/FAULT[+STEP/FAULT]");
    app.add_option("--seed", seed, "Seed of the stand-ins and the proxy");
    app.add_flag("--list", list, "List the cells as JSON lines");
    app.add_option(
        "--pairs", pairs, "List this number of pairs, chosen by the seed");
    CLI11_PARSE(app, argument_count, arguments);
    if (list)
    {
        list_cells(
            pairs > 0 ? faults::choose_pairs(pairs, seed)
                      : faults::all_cells());
        return 0;
    }
    const std::optional<faults::matrix_cell> cell = faults::find_cell(name);
    if (!cell || !faults::get_exclusion_reason(*cell).empty())
    {
        std::cerr << "no such cell, or not applicable: " << name << "\n";
        return 2;
    }
    const faults::cell_result result = run_cell(*cell, seed);
    boost::json::object line;
    line["cell"] = name;
    line["seed"] = seed;
    line["reached"] = result.reached;
    if (cell->second)
    {
        line["second_at_step"] = result.second_at_step;
    }
    boost::json::array violations;
    for (const std::string& violation : result.violations)
    {
        violations.emplace_back(violation);
    }
    const bool passed = result.reached && violations.empty();
    line["violations"] = std::move(violations);
    line["passed"] = passed;
    std::cout << boost::json::serialize(line) << std::endl;
    return passed ? 0 : 1;
}
