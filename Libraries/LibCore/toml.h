#pragma once

// toml++ 3.3 asserts in builds without NDEBUG that a key starts with a key character, before it
// checks the same and reports a syntax error. Without the assertion, text such as "[!]" is reported
// as a fault instead of aborting the process.
#define TOML_ASSERT(expression) static_cast<void>(0)

#include <toml++/toml.h>
