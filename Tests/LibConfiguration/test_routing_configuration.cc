#define BOOST_TEST_MODULE RoutingConfiguration
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "LibConfiguration/routing_configuration.h"

namespace sassafrasbay {
namespace {

const RoutingFile kAllotment = {"allotment.toml", R"([service.allotment]
shards = 16
key = { from = "header", name = "Lot-Id" }
[[service.allotment.class]]
name = "assign"
method = "POST"
path_prefix = "/allotment/lots/"
kind = "binding"
worth = 90
deadline_ms = 1500
)"};
const RoutingFile kLookup = {"lookup.toml", R"([service.lookup]
key = { from = "path", segment = 2 }
[[service.lookup.class]]
name = "read"
path_prefix = "/lookup"
kind = "idempotent"
)"};

std::vector<std::string> FaultsOf(const std::vector<RoutingFile>& files) {
  std::vector<std::string> faults;
  for (const Fault& fault : ParseRoutingFiles(files).faults_) {
    faults.push_back(ToString(fault));
  }
  return faults;
}

// Guards against a key being read into the wrong field, and against unsorted services.
BOOST_AUTO_TEST_CASE(ServicesAreReadAndSorted) {
  const auto result = ParseRoutingFiles(std::vector<RoutingFile>{kLookup, kAllotment});
  BOOST_REQUIRE(result.faults_.empty());
  BOOST_REQUIRE(result.configuration_.services_.size() == 2U);
  const ServiceSpec& allotment = result.configuration_.services_[0];
  BOOST_TEST(allotment.name_ == "allotment");
  BOOST_TEST(allotment.shards_ == 16U);
  BOOST_TEST((allotment.key_.source_ == KeyRule::Source::kHeader));
  BOOST_TEST(allotment.key_.name_ == "Lot-Id");
  BOOST_REQUIRE(allotment.classes_.size() == 1U);
  BOOST_TEST(allotment.classes_[0].name_ == "assign");
  BOOST_TEST(allotment.classes_[0].method_ == "POST");
  BOOST_TEST(allotment.classes_[0].path_prefix_ == "/allotment/lots/");
  BOOST_TEST((allotment.classes_[0].kind_ == RequestKind::kBinding));
  BOOST_TEST(allotment.classes_[0].worth_ == 90);
  BOOST_TEST((allotment.classes_[0].deadline_ == std::chrono::milliseconds(1500)));
  const ServiceSpec& lookup = result.configuration_.services_[1];
  BOOST_TEST(lookup.shards_ == 64U);
  BOOST_TEST((lookup.key_.source_ == KeyRule::Source::kPathSegment));
  BOOST_TEST(lookup.key_.segment_ == 2U);
  BOOST_TEST(lookup.classes_[0].method_ == "*");
}

// Guards against two publishers' definitions of a service being merged silently, and against nodes
// that derive different results from the same files.
BOOST_AUTO_TEST_CASE(ConflictNamesBothFilesInAnyOrder) {
  RoutingFile copy = kLookup;
  copy.name_ = "zz.toml";
  std::vector<RoutingFile> files = {kAllotment, kLookup, copy};
  const std::vector<std::string> expected = {
      "zz.toml:1: service.lookup: service conflicts with its definition in lookup.toml:1"};
  const auto by_name = [](const RoutingFile& left, const RoutingFile& right) {
    return left.name_ < right.name_;
  };
  std::sort(files.begin(), files.end(), by_name);
  do {
    BOOST_TEST(FaultsOf(files) == expected, boost::test_tools::per_element());
  } while (std::next_permutation(files.begin(), files.end(), by_name));
}

// Guards against a file silently replacing another one of the same name.
BOOST_AUTO_TEST_CASE(DuplicateFileNamesAreReported) {
  const RoutingFile other = {kAllotment.name_, kLookup.text_};
  const std::vector<std::string> expected = {"allotment.toml: two files have this name"};
  BOOST_TEST(FaultsOf({kAllotment, other}) == expected, boost::test_tools::per_element());
}

// Guards against validation stopping at the first fault or file.
BOOST_AUTO_TEST_CASE(AllFaultsOfAllFilesAreReportedAtOnce) {
  const RoutingFile first = {"a.toml", R"([service.a]
shards = 0
key = { from = "path", segment = 0, name = "x" }
colour = 1
[[service.a.class]]
name = "read"
method = "get"
path_prefix = "/ab/"
kind = "sometimes"
worth = 101
deadline_ms = 1.5
)"};
  const RoutingFile second = {"b.toml", "[service.b\n"};
  const std::vector<std::string> expected = {
      "a.toml:2: service.a.shards: 0 is outside 1 to 16384",
      "a.toml:3: service.a.key.name: has no meaning with from = \"path\"",
      "a.toml:3: service.a.key.segment: 0 is outside 1 to 32",
      "a.toml:4: service.a.colour: unknown key",
      "a.toml:7: service.a.class[0].method: must be a method in capital letters or \"*\"",
      "a.toml:8: service.a.class[0].path_prefix: lies outside \"/a\"",
      "a.toml:9: service.a.class[0].kind: must be \"idempotent\" or \"binding\"",
      "a.toml:10: service.a.class[0].worth: 101 is outside 1 to 100",
      "a.toml:11: service.a.class[0].deadline_ms: must be an integer"};
  auto faults = FaultsOf({second, first});
  BOOST_REQUIRE(faults.size() == expected.size() + 1);
  BOOST_TEST(faults.back().starts_with("b.toml:1: syntax error: "), "got: " << faults.back());
  faults.pop_back();
  BOOST_TEST(faults == expected, boost::test_tools::per_element());
}

struct FaultyFile {
  std::string text_;
  std::string expected_;
};

std::ostream& operator<<(std::ostream& stream, const FaultyFile& file) {
  return stream << file.expected_;
}

const std::vector<FaultyFile> kFaultyFiles = {
    {"", "f.toml: service: is missing"},
    {"service = 1", "f.toml:1: service: must be a table"},
    {"[service]\na = 1", "f.toml:2: service.a: must be a table"},
    {"[service.a]\nclass = []",
     "f.toml:2: service.a.class: must be an array of at least one table"},
    {"[service.a]\nclass = [1]", "f.toml:2: service.a.class: must hold tables only"},
    {"[service.-]\n[[service.-.class]]\nname = \"n\"\nkind = \"binding\"\npath_prefix = \"/-/\"",
     "f.toml:1: service.-: a service name must have 1 to 64 letters, digits, '_' and '-', and not "
     "be \"-\""},
    {"[service.a]\nkey = { from = \"query\" }\n[[service.a.class]]\nname = \"n\"\nkind = "
     "\"binding\"\npath_prefix = \"/a\"",
     "f.toml:2: service.a.key.name: is missing"},
    {"[service.a]\n[[service.a.class]]\nname = \"n\"\nkind = \"binding\"\npath_prefix = \"/a\"\n"
     "[[service.a.class]]\nname = \"m\"\nkind = \"idempotent\"\npath_prefix = \"/a\"",
     "f.toml:9: service.a.class[1].path_prefix: has the method and prefix of class 'n'"},
    {"[service.a]\n[[service.a.class]]\nname = \"n\"\nkind = \"binding\"",
     "f.toml:2: service.a.class[0].path_prefix: is missing"},
};

// Guards against a faulty routing file being published.
BOOST_DATA_TEST_CASE(FaultyFileIsReported, boost::unit_test::data::make(kFaultyFiles), faulty) {
  const std::vector<std::string> expected = {faulty.expected_};
  BOOST_TEST(FaultsOf({{"f.toml", faulty.text_}}) == expected, boost::test_tools::per_element());
}

}  // namespace
}  // namespace sassafrasbay
