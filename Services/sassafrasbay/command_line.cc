#include "command_line.h"

#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

namespace sassafrasbay {
namespace {

using PoptContext = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

/// Builds popt's table: an entry for each option, popt's own help options, and the end marker.
std::vector<poptOption> PoptTable(std::span<const CommandOption> options,
                                  std::vector<char*>& values) {
  std::vector<poptOption> table;
  table.reserve(options.size() + 2);
  for (std::size_t index = 0; index < options.size(); ++index) {
    const CommandOption& option = options[index];
    table.push_back({option.name_, '\0', POPT_ARG_STRING, static_cast<void*>(&values[index]), 0,
                     option.description_, option.placeholder_});
  }
  table.push_back(
      {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
  table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return table;
}

}  // namespace

ParsedArguments ParseArguments(std::span<const char*> arguments, std::string_view help,
                               std::span<const CommandOption> options) {
  std::vector<char*> values(options.size(), nullptr);
  const std::vector<poptOption> table = PoptTable(options, values);
  const std::string name = std::string("sassafrasbay ") + arguments[0];
  // popt's usage line shows the first argument as the name of the program.
  std::vector<const char*> named(arguments.begin(), arguments.end());
  named.front() = name.c_str();
  const PoptContext context(
      poptGetContext(name.c_str(), static_cast<int>(named.size()), named.data(), table.data(), 0),
      &poptFreeContext);
  const std::string help_text(help);
  poptSetOtherOptionHelp(context.get(), help_text.c_str());
  const int result = poptGetNextOpt(context.get());
  for (std::size_t index = 0; index < options.size(); ++index) {
    if (values[index] != nullptr) {
      *options[index].value_ = values[index];
      std::free(values[index]);
    }
  }
  ParsedArguments parsed;
  if (result != -1) {
    std::cerr << name << ": " << poptBadOption(context.get(), 0) << ": " << poptStrerror(result)
              << "\n";
    return parsed;
  }
  parsed.valid_ = true;
  while (const char* operand = poptGetArg(context.get())) {
    parsed.operands_.emplace_back(operand);
  }
  return parsed;
}

bool ReadFile(std::string_view command, const std::string& path, std::string& text) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "sassafrasbay " << command << ": " << path
              << ": the file cannot be opened for reading\n";
    return false;
  }
  text.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  return true;
}

}  // namespace sassafrasbay
