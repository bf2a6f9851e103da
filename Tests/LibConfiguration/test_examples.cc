#define BOOST_TEST_MODULE Examples
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "LibConfiguration/node_settings.h"
#include "LibConfiguration/routing_configuration.h"

namespace sassafrasbay {
namespace {

const std::vector<std::string> kDeployments = {"consortium", "kandy"};
constexpr std::string_view kNodeFile = "node.toml";

std::filesystem::path DirectoryOf(const std::string& deployment) {
  return std::filesystem::path(EXAMPLES_DIRECTORY) / deployment;
}

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream stream(path);
  BOOST_REQUIRE(stream.good());
  return {std::istreambuf_iterator<char>(stream), {}};
}

std::vector<RoutingFile> RoutingFilesOf(const std::string& deployment) {
  std::vector<RoutingFile> files;
  for (const auto& entry : std::filesystem::directory_iterator(DirectoryOf(deployment))) {
    const std::string name = entry.path().filename();
    if (name != kNodeFile) {
      files.push_back({.name_ = name, .text_ = ReadText(entry.path())});
    }
  }
  return files;
}

void CheckNoFaults(const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    BOOST_TEST_ERROR(ToString(fault));
  }
}

// Guards against an example that no longer matches the accepted keys.
BOOST_DATA_TEST_CASE(SettingsAreAccepted, boost::unit_test::data::make(kDeployments), deployment) {
  const std::string text = ReadText(DirectoryOf(deployment) / kNodeFile);
  CheckNoFaults(ParseNodeSettings(kNodeFile, text).faults_);
}

// Guards against a deployment that loses a service, or its classes of binding requests.
BOOST_DATA_TEST_CASE(RoutingFilesAreAccepted, boost::unit_test::data::make(kDeployments),
                     deployment) {
  const auto result = ParseRoutingFiles(RoutingFilesOf(deployment));
  CheckNoFaults(result.faults_);
  BOOST_TEST(result.configuration_.services_.size() == 3U);
  int services_with_binding_class = 0;
  for (const ServiceSpec& service : result.configuration_.services_) {
    for (const RequestClass& request_class : service.classes_) {
      if (request_class.kind_ == RequestKind::kBinding) {
        ++services_with_binding_class;
        break;
      }
    }
  }
  BOOST_TEST(services_with_binding_class == 2);
}

}  // namespace
}  // namespace sassafrasbay
