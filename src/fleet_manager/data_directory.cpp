#include "fleet_manager/data_directory.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace tealcart::manager {
namespace {

using Json = nlohmann::json;
constexpr int form = 1;

std::string mark_of(const std::string& folder) { return folder + "/steward.json"; }

[[noreturn]] void fail(const std::string& folder, const std::string& what) {
    throw std::runtime_error("the steward's folder " + folder + " " + what);
}

}  // namespace

void create_data_directory(const std::string& folder, const std::string& fleet, std::uint64_t id) {
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec) fail(folder, "can't be made: " + ec.message());
    if (std::filesystem::exists(mark_of(folder))) fail(folder, "is a steward's already");
    std::ofstream out(mark_of(folder));
    out << Json{{"form", form}, {"fleet", fleet}, {"id", id}}.dump() << '\n';
    if (!out.flush()) fail(folder, "can't be written");
}

void check_data_directory(const std::string& folder, const std::string& fleet, std::uint64_t id) {
    std::ifstream in(mark_of(folder));
    if (!in) fail(folder, "is no steward's: 'tealcart steward init' makes one");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const Json mark = Json::parse(text, nullptr, false);
    if (!mark.is_object() || !mark.contains("form") || !mark.contains("fleet") || !mark.contains("id"))
        fail(folder, "has a mark that can't be read");
    if (mark["form"] != form)
        fail(folder, "is of form " + mark["form"].dump() + ", this program reads " + std::to_string(form));
    if (mark["fleet"] != fleet || mark["id"] != id)
        fail(folder, "is that of steward " + mark["id"].dump() + " of " + mark["fleet"].dump());
    if (::access(folder.c_str(), W_OK) != 0) fail(folder, "can't be written");
}

}  // namespace tealcart::manager
