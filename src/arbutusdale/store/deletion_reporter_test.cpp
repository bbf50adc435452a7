// Tests which keys are reported as deleted by a scan.
#include "arbutusdale/store/deletion_reporter.hpp"

#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace arbutusdale::store;

namespace {

class Keys final : public PartitionListener {
 public:
  std::set<std::string> known;
  int tombstones = 0;
  int complete_scans = 0;

  void on_record(const Record& record) override {
    if (!record.entry.value.empty()) {
      known.insert(record.entry.key);
      return;
    }
    ++tombstones;
    known.erase(record.entry.key);
  }
  void on_scan_complete() override { ++complete_scans; }
};

struct Reported {
  Keys keys;
  DeletionReporter reporter{keys};

  void put(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      reporter.on_record({0, {name, "value"}});
    }
  }
  void scan(const std::vector<std::string>& names) {
    reporter.on_scan_started();
    put(names);
    reporter.on_scan_complete();
  }
};

using Names = std::set<std::string>;

}  // namespace

// Guards against keys that stay known although a scan no longer finds them, and against others that
// are dropped.
Test(deletion_reporter, a_scan_deletes_the_keys_that_it_does_not_find) {
  Reported r;
  r.scan({"a", "b", "c"});
  r.put({"d"});
  cr_assert_eq(r.keys.tombstones, 0);
  r.scan({"b", "d", "e"});
  cr_assert(r.keys.known == (Names{"b", "d", "e"}));
  cr_assert_eq(r.keys.tombstones, 2);
  r.scan({"b", "d", "e"});
  cr_assert_eq(r.keys.tombstones, 2);
  cr_assert_eq(r.keys.complete_scans, 3);
}

// Guards against keys that are deleted by a scan which did not come to its end.
Test(deletion_reporter, a_scan_that_fails_deletes_nothing) {
  Reported r;
  r.scan({"a", "b", "c"});
  r.reporter.on_scan_started();
  r.put({"a"});
  cr_assert(r.keys.known == (Names{"a", "b", "c"}));
  r.scan({"a", "c"});
  cr_assert(r.keys.known == (Names{"a", "c"}));
}

// Guards against a job that is dropped because it was accepted during a scan, behind the pages that
// had been read, and a parallel read delivered it.
Test(deletion_reporter, a_key_that_arrives_during_a_scan_stays) {
  Reported r;
  r.scan({"b"});
  r.reporter.on_scan_started();
  r.put({"b"});
  r.put({"a"});
  r.reporter.on_scan_complete();
  cr_assert(r.keys.known == (Names{"a", "b"}));
  r.reporter.on_record({3, {"a", ""}});
  r.scan({"b"});
  cr_assert_eq(r.keys.tombstones, 1);
}

// Guards against accepted jobs that are dropped because the store has lost their records.
Test(deletion_reporter, a_scan_after_a_loss_of_records_deletes_nothing) {
  Reported r;
  r.scan({"a", "b", "c"});
  r.reporter.on_records_lost();
  r.scan({"a"});
  cr_assert_eq(r.keys.tombstones, 0);
  cr_assert(r.keys.known == (Names{"a", "b", "c"}));
}
