// Writes the tables of docs/CAPACITY.md and docs/capacity-slopes.md from a size and measured slopes: `make
// capacity`. With --check it writes nothing; if a table, a mark or a slope's line differs, it prints the
// names and exits with status 1.
#include "capacity/capacity.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <stdexcept>

using namespace tealcart::capacity;

namespace {

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw std::runtime_error("cannot read file " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream file(path, std::ios::binary);
    file << text;
    if (!file.flush()) throw std::runtime_error("cannot write file " + path);
}

}  // namespace

int main(int argc, char** argv) {
    std::string size_path = "measure/capacity/size.json", slopes_path = "measure/capacity/slopes.json",
                page_path = "docs/CAPACITY.md", slopes_page_path = "docs/capacity-slopes.md", output_path,
                measurement_path;
    bool check = false;
    CLI::App app("Writes the tables of the capacity pages from a deployment's size and measured slopes");
    app.add_option("--size", size_path, "file with the deployment's size");
    app.add_option("--slopes", slopes_path, "file with the measured slopes");
    app.add_option("--page", page_path, "page whose tables are written");
    app.add_option("--slopes-page", slopes_page_path, "page whose table of slopes is written");
    app.add_option("--out", output_path, "file to which the page is written instead of --page");
    app.add_option("--take", measurement_path,
                   "output of a measurement whose points first replace those of the slopes file");
    app.add_flag("--check", check, "write nothing; exit with status 1 if a table or slope differs");
    CLI11_PARSE(app, argc, argv);
    try {
        Slopes slopes = read_slopes(read_file(slopes_path));
        if (!measurement_path.empty()) {
            take_points(slopes, read_file(measurement_path));
            write_file(slopes_path, write_slopes(slopes));
        }
        bool consistent = true;
        for (const std::string& name : outdated_fits(slopes)) {
            std::fprintf(stderr, "slope '%s': the stated line or range differs from the fit of its points\n",
                         name.c_str());
            consistent = false;
        }
        const auto all_tables = make_tables(read_size(read_file(size_path)), slopes);
        const std::vector<std::pair<std::string, std::vector<Table>>> pages{
            {page_path, {all_tables.begin(), all_tables.end() - 1}}, {slopes_page_path, {all_tables.back()}}};
        for (const auto& [path, page_tables] : pages) {
            const std::string page = read_file(path);
            if (check) {
                for (const std::string& name : differing_tables(page, page_tables)) {
                    std::fprintf(
                        stderr,
                        "table '%s' of %s differs from the size and the slopes; run 'make capacity'\n",
                        name.c_str(), path.c_str());
                    consistent = false;
                }
            } else if (consistent) {
                const std::string text = rewrite_page(page, page_tables);
                if (output_path.empty())
                    write_file(path, text);
                else if (path == page_path)
                    write_file(output_path, text);
            }
        }
        return consistent ? 0 : 1;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "capacity: %s\n", e.what());
        return 1;
    }
}
