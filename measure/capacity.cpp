// Writes the tables of docs/CAPACITY.md out of a size and measured slopes: `make capacity`. With --check it
// writes nothing and ends with 1 where the page, a slope's line or the marks differ, naming them.
#include "capacity/capacity.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <stdexcept>

using namespace tealcart::capacity;

namespace {

std::string read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw std::runtime_error(path + " can't be read");
    return {std::istreambuf_iterator<char>(file), {}};
}

void write(const std::string& path, const std::string& text) {
    std::ofstream file(path, std::ios::binary);
    file << text;
    if (!file.flush()) throw std::runtime_error(path + " can't be written");
}

}  // namespace

int main(int argc, char** argv) {
    std::string size_at = "measure/capacity/size.json", slopes_at = "measure/capacity/slopes.json",
                page_at = "docs/CAPACITY.md", slopes_page_at = "docs/capacity-slopes.md", out, points;
    bool check = false;
    CLI::App app("Writes the tables of the capacity page out of a size and measured slopes");
    app.add_option("--size", size_at, "the deployment's size");
    app.add_option("--slopes", slopes_at, "measured slopes");
    app.add_option("--page", page_at, "the page with the marks");
    app.add_option("--slopes-page", slopes_page_at, "the page with the slopes' mark");
    app.add_option("--out", out, "where the page is written, if not over itself");
    app.add_option("--take", points, "a measurement's output, whose points go into the file of slopes first");
    app.add_flag("--check", check, "write nothing, and end with 1 where something differs");
    CLI11_PARSE(app, argc, argv);
    try {
        Slopes slopes = read_slopes(read(slopes_at));
        if (!points.empty()) {
            take_points(slopes, read(points));
            write(slopes_at, write_slopes(slopes));
        }
        bool sound = true;
        for (const std::string& name : misfits(slopes)) {
            std::fprintf(stderr, "slope '%s': what is stated is not the line through its points\n",
                         name.c_str());
            sound = false;
        }
        const auto made = tables(read_size(read(size_at)), slopes);
        const std::vector<std::pair<std::string, std::vector<Table>>> pages{
            {page_at, {made.begin(), made.end() - 1}}, {slopes_page_at, {made.back()}}};
        for (const auto& [at, of] : pages) {
            const std::string page = read(at);
            if (check) {
                for (const std::string& name : differing(page, of)) {
                    std::fprintf(stderr, "table '%s' of %s is not what size and slopes give: make capacity\n",
                                 name.c_str(), at.c_str());
                    sound = false;
                }
            } else if (sound) {
                const std::string text = rewritten(page, of);
                if (out.empty())
                    write(at, text);
                else if (at == page_at)
                    write(out, text);
            }
        }
        return sound ? 0 : 1;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "capacity: %s\n", e.what());
        return 1;
    }
}
