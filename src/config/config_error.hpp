// The error that readers of configuration throw at startup, for the platform's settings and for operators'
// files.
#pragma once

#include <stdexcept>
#include <string>

namespace tealcart {

// An invalid configuration. `what()` is a single line for the operator. If the error concerns one setting,
// `setting()` is its key and `value()` its value as written, which is empty if the setting is missing.
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
