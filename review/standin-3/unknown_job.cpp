// A client cancels a job that nobody has submitted, and asks for it.
#include "scenarios.hpp"

namespace review {
namespace {

class UnknownJob {
 public:
  explicit UnknownJob(const Options& options) : m_options(options), m_deployment(options) {
    for (int i = 0; i < 4; ++i) {
      m_deployment.add_worker(fmt::format("w-{}", i + 1), "a", i * 31ms);
    }
  }

  int run() {
    m_deployment.run([this] { m_deployment.after(4s, [this] { begin(); }); }, 30s);
    if (!m_deployment.was_ready() || m_states.size() < m_deployment.daemons()) {
      return k_not_run;
    }
    for (const std::string& state : m_states) {
      if (!state.empty()) {
        m_deployment.note("MIXED: a job that nobody submitted is shown as " + state);
        return k_broken;
      }
    }
    return k_held;
  }

 private:
  void begin() {
    m_deployment.call(0, "GET", k_id, "", [this](const CallerReply&) {
      if (m_options.has_trouble) {
        m_deployment.call(1, "DELETE", k_id, "", [](const CallerReply&) {});
      }
      m_deployment.after(5s, [this] { ask(0); });
    });
  }
  void ask(std::size_t daemon) {
    m_deployment.call(daemon, "GET", k_id, "", [this, daemon](const CallerReply& reply) {
      m_states.push_back(
          reply.status == 200 ? json::parse(reply.body, nullptr, false).value("State", "?") : "");
      if (daemon + 1 < m_deployment.daemons()) {
        return ask(daemon + 1);
      }
      m_deployment.finish();
    });
  }

  static constexpr const char* k_id = "5c0e7a21d94b36f8";

  const Options m_options;
  Deployment m_deployment;
  std::vector<std::string> m_states;
};

}  // namespace

int run_unknown_job(const Options& options) {
  return UnknownJob(options).run();
}

}  // namespace review
