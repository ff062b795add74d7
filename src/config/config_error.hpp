// The error of every reader of configuration: what the platform or the operators state, read at the start.
#pragma once

#include <stdexcept>
#include <string>

namespace tealcart {

// A configuration that can't be used. `what()` is one plain line for the operator. Where the error is about
// one setting, `setting()` is its key and `value()` its value as it was written, empty where it is missing.
class ConfigError : public std::runtime_error {
  public:
    explicit ConfigError(const std::string& message) : std::runtime_error(message) {}
    ConfigError(std::string setting, std::string value, const std::string& message)
        : std::runtime_error(message), setting_(std::move(setting)), value_(std::move(value)) {}

    const std::string& setting() const { return setting_; }
    const std::string& value() const { return value_; }

  private:
    std::string setting_;
    std::string value_;
};

}  // namespace tealcart
