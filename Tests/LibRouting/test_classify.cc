#define BOOST_TEST_MODULE Classify
#include <boost/test/unit_test.hpp>

#include "LibRouting/classify.h"

namespace sassafrasbay {
namespace {

RoutingConfiguration MakeConfiguration() {
  ServiceSpec allotment;
  allotment.name_ = "allotment";
  allotment.classes_ = {
      {"read", "GET", "/allotment/", RequestKind::kIdempotent, 5, milliseconds(500)},
      {"any", "*", "/allotment/", RequestKind::kBinding, 50, milliseconds(2000)},
      {"assign", "POST", "/allotment/lots", RequestKind::kBinding, 90, milliseconds(2000)},
  };
  allotment.key_ = {KeyRule::Source::kPathSegment, "", 2};
  ServiceSpec rota;
  rota.name_ = "rota";
  rota.classes_ = {{"view", "GET", "/", RequestKind::kIdempotent, 1, milliseconds(500)}};
  rota.key_ = {KeyRule::Source::kQuery, "statue", 0};
  ServiceSpec wax;
  wax.name_ = "wax";
  wax.classes_ = rota.classes_;
  wax.key_ = {KeyRule::Source::kHeader, "X-Statue", 0};
  return {{allotment, rota, wax}};
}

const RoutingConfiguration kConfiguration = MakeConfiguration();

HttpRequest Request(std::string_view method, std::string_view path) {
  return {std::string(method), std::string(path), {}, {}};
}

std::string ClassOf(std::string_view method, std::string_view path) {
  const auto result = Classify(kConfiguration, Request(method, path));
  return result.has_value() ? result.value().class_->name_ : result.error().detail_;
}

std::string KeyOf(const HttpRequest& request) {
  const auto result = Classify(kConfiguration, request);
  return result.has_value() ? result.value().key_ : result.error().detail_;
}

// Guards against a less specific class, perhaps an idempotent one, matching a binding request.
BOOST_AUTO_TEST_CASE(LongestPrefixAndNamedMethodWin) {
  BOOST_TEST(ClassOf("POST", "/allotment/lots/7") == "assign");
  BOOST_TEST(ClassOf("PUT", "/allotment/lots/7") == "any");
  BOOST_TEST(ClassOf("GET", "/allotment/lots/7") == "read");
  BOOST_TEST(ClassOf("POST", "/rota/x?statue=1") == "no class matches method and path");
  BOOST_TEST(ClassOf("GET", "/nothing/x") == "no such service");
}

// Guards against a different encoding of a path selecting another class or owner than the upstream
// would.
BOOST_AUTO_TEST_CASE(PathEncodingDoesNotAffectRouting) {
  BOOST_TEST(ClassOf("POST", "/allotment/%6Cots/7") == "assign");
  BOOST_TEST(KeyOf(Request("GET", "/allotment/lots/a%20b")) == "a b");
  BOOST_TEST(KeyOf(Request("GET", "/allotment/lots/%c3%b6?x=1")) == "\xC3\xB6");
  for (const std::string_view path :
       {"/allotment/../lots/7", "/allotment//lots/7", "/allotment/%2e%2E/lots/7"}) {
    BOOST_TEST(ClassOf("POST", path) == "path has an empty or a dot segment");
  }
  for (const std::string_view path :
       {"/allotment/lots/%", "/allotment/lots/%4", "/allotment/lots/%4x", "/allotment/lots/%x4"}) {
    BOOST_TEST(ClassOf("POST", path) == "path has a malformed percent-encoding");
  }
  BOOST_TEST(ClassOf("GET", "") == "path must start with a slash");
  BOOST_TEST(ClassOf("GET", "allotment/lots/7") == "path must start with a slash");
}

// Guards against a request without a key being routed to the owner of the empty key.
BOOST_AUTO_TEST_CASE(KeyIsReadFromItsSource) {
  BOOST_TEST(KeyOf(Request("GET", "/rota/x?day=1&statue=St+%41nne")) == "St Anne");
  BOOST_TEST(KeyOf(Request("GET", "/rota/x?day=1")) == "request has no key");
  BOOST_TEST(KeyOf(Request("GET", "/rota/x?statue=%zz")) == "request has no key");
  BOOST_TEST(KeyOf(Request("GET", "/allotment/lots")) == "request has no key");
  HttpRequest request = Request("GET", "/wax/history");
  BOOST_TEST(KeyOf(request) == "request has no key");
  request.headers_ = {{"x-statue", "Oshun"}};
  BOOST_TEST(KeyOf(request) == "Oshun");
}

// Guards against equal keys of two services having the same hash, and against different requests
// having the same fingerprint.
BOOST_AUTO_TEST_CASE(HashAndFingerprintAreDistinct) {
  BOOST_TEST(HashKey("a", "k") != HashKey("b", "k"));
  HttpRequest request = Request("POST", "/allotment/lots/7");
  request.body_ = "one";
  const auto first = Classify(kConfiguration, request).value();
  request.body_ = "two";
  const auto second = Classify(kConfiguration, request).value();
  BOOST_TEST(first.key_hash_ == HashKey("allotment", "7"));
  BOOST_TEST(first.key_hash_ == second.key_hash_);
  BOOST_TEST(first.fingerprint_ != second.fingerprint_);
}

}  // namespace
}  // namespace sassafrasbay
