#include "fleet_manager/data_directory.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace tealcart::fleet_manager {
namespace {

using Json = nlohmann::json;
constexpr int marker_format = 1;

std::string marker_path(const std::string& directory) { return directory + "/steward.json"; }

[[noreturn]] void fail(const std::string& directory, const std::string& problem) {
    throw std::runtime_error("the data directory " + directory + " " + problem);
}

}  // namespace

void remove_marker(const std::string& directory) {
    std::error_code ignored;
    std::filesystem::remove(marker_path(directory), ignored);
}

void create_data_directory(const std::string& directory, const std::string& fleet, std::uint64_t id) {
    std::error_code ec;
    std::filesystem::create_directories(directory, ec);
    if (ec) fail(directory, "cannot be created: " + ec.message());
    if (std::filesystem::exists(marker_path(directory)))
        fail(directory, "already has a steward.json; expected a directory that no fleet manager uses");
    std::ofstream out(marker_path(directory));
    out << Json{{"form", marker_format}, {"fleet", fleet}, {"id", id}}.dump() << '\n';
    if (!out.flush()) fail(directory, "cannot be written");
}

void check_data_directory(const std::string& directory, const std::string& fleet, std::uint64_t id) {
    std::ifstream in(marker_path(directory));
    if (!in) fail(directory, "has no steward.json; 'tealcart fleet-manager init' creates one");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const Json marker = Json::parse(text, nullptr, false);
    if (!marker.is_object() || !marker.contains("form") || !marker.contains("fleet") ||
        !marker.contains("id"))
        fail(directory, "has a steward.json that is not a JSON object with 'form', 'fleet' and 'id'");
    if (marker["form"] != marker_format)
        fail(directory, "has data of format version " + marker["form"].dump() +
                            "; this program reads version " + std::to_string(marker_format));
    if (marker["fleet"] != fleet || marker["id"] != id)
        fail(directory, "belongs to fleet manager " + marker["id"].dump() + " of the fleet " +
                            marker["fleet"].dump() + "; expected fleet manager " + std::to_string(id) +
                            " of the fleet " + Json(fleet).dump());
    if (::access(directory.c_str(), W_OK) != 0) fail(directory, "cannot be written");
}

}  // namespace tealcart::fleet_manager
