// Builds the JSON texts for `status` and `record`.
#include "status.hpp"

#include <algorithm>

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

namespace arbutusdale::control {
namespace {

using nlohmann::json;

json to_json(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
  return status.ok() ? json::parse(text) : json(status.ToString());
}

json stream_json(const state::StreamStats& stats) {
  return {{"next_offset", stats.next_offset},       {"caught_up", stats.caught_up},
          {"log_reachable", stats.log_reachable},   {"gap", stats.gap},
          {"stopped_reason", stats.stopped_reason}, {"snapshots_written", stats.snapshots_written}};
}

json domains_json(const Context& context) {
  json domains = json::array();
  const auto versions = context.membership.domain_versions();
  for (const auto& domain : context.global.declaration().domains()) {
    std::uint64_t seen = 0;
    for (const auto& version : versions) {
      if (version.domain() == domain.name()) {
        seen = version.version();
      }
    }
    if (domain.name() == context.options.domain) {
      seen = std::max(seen, context.global.version());
    }
    domains.push_back({{"name", domain.name()},
                       {"config_version", seen},
                       {"confirmed", seen >= context.global.version()}});
  }
  return domains;
}

json members_json(const Context& context, TimePoint now) {
  json members = json::array();
  for (const auto& member : context.membership.live(now)) {
    members.push_back({{"daemon", member.daemon},
                       {"domain", member.domain},
                       {"incarnation", member.incarnation},
                       {"config_version", member.config_version},
                       {"ready", member.ready}});
  }
  return members;
}

json shards_json(const Context& context, const ShardManager& shards) {
  json list = json::array();
  for (std::uint32_t shard = 0; shard < shards.shards(); ++shard) {
    const auto owner = context.domain.shard(shard);
    list.push_back(
        {{"shard", shard}, {"holder", owner.owned ? owner.daemon : ""}, {"term", owner.term}});
  }
  return list;
}

json jobs_json(const Context& context, const ShardManager& shards) {
  json jobs = json::array();
  for (const auto& job : context.global.declaration().jobs()) {
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    for (const auto& progress : context.global.progress()) {
      if (progress.job() == job.name()) {
        succeeded += progress.succeeded();
        failed += progress.failed();
      }
    }
    const auto* record = context.domain.job(job.name());
    jobs.push_back({{"name", job.name()},
                    {"team", job.team()},
                    {"tasks", job.tasks()},
                    {"succeeded", succeeded},
                    {"failed", failed},
                    {"evictions_here", record == nullptr ? 0 : record->evictions},
                    {"cancelled", context.global.is_cancelled(job.name())},
                    {"waiting", shards.waiting_reason(job.name())}});
  }
  return jobs;
}

json batch_json(const batch::ShardStats& stats) {
  return {{"pending", stats.pending},
          {"running", stats.running},
          {"blocked_unknown_fate", stats.blocked},
          {"started", stats.started},
          {"succeeded", stats.succeeded},
          {"failed", stats.failed},
          {"evictions", stats.evictions},
          {"throttles", stats.throttles},
          {"lost", stats.lost},
          {"workers_acquired", stats.workers_acquired},
          {"workers_unreachable", stats.workers_unreachable},
          {"quarantined", stats.quarantined},
          {"takeover_complete", stats.takeover_complete}};
}

}  // namespace

std::string make_status_json(const Context& context, const ShardManager& shards, const VmView& vms,
                             const Readiness& readiness, TimePoint now) {
  json status;
  status["daemon"] = context.options.daemon;
  status["domain"] = context.options.domain;
  status["incarnation"] = context.incarnation;
  status["ready"] = readiness.ready;
  status["not_ready_reason"] = readiness.reason;
  status["config_version"] = context.global.version();
  status["highest_version_heard"] = context.membership.highest_version();
  status["vm_list_trusted"] = vms.trusted();
  status["domains"] = domains_json(context);
  status["members"] = members_json(context, now);
  status["shards"] = shards_json(context, shards);
  status["jobs"] = jobs_json(context, shards);
  status["batch_here"] = batch_json(shards.totals());
  status["streams"] = {{"global", stream_json(context.global_stream.stats())},
                       {"domain", stream_json(context.domain_stream.stats())}};
  json open = json::array();
  for (const auto* entry : context.global.plans()) {
    if (entry->state() == "proposed" || entry->state() == "confirmed") {
      open.push_back({{"id", entry->plan().id()},
                      {"state", entry->state()},
                      {"steps_done", entry->steps_size()}});
    }
  }
  status["open_plans"] = std::move(open);
  return status.dump();
}

std::string make_record_json(const Context& context, std::size_t limit) {
  json entries = json::array();
  auto plans = context.global.plans();
  std::reverse(plans.begin(), plans.end());
  for (const auto* entry : plans) {
    if (entries.size() >= limit) {
      break;
    }
    entries.push_back(to_json(*entry));
  }
  return json{{"entries", std::move(entries)}}.dump();
}

}  // namespace arbutusdale::control
