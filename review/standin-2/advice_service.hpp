// A stand-in of the advice service: it answers one call at a time for each daemon, after the time
// that the configuration names. All workers may run all steps.
#pragma once

#include "arbutusdale/net/event_loop.hpp"

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "deployment.hpp"

namespace review {

class AdviceService {
 public:
  /// One daemon calls, the leader.
  AdviceService(Deployment& deployment, AdviceTerms terms)
      : m_deployment(deployment),
        m_terms(terms),
        m_service(deployment.loop(), deployment.advice(),
                  [this](const stand_in::ServedRequest& request,
                         const stand_in::ConnectionPtr& caller) { serve(request, caller); }) {}

  bool open() { return m_service.open(); }

 private:
  static constexpr std::size_t k_max_waiting = 32;

  struct Call {
    json workers;
    std::weak_ptr<stand_in::HttpConnection> caller;
  };

  void serve(const stand_in::ServedRequest& request, const stand_in::ConnectionPtr& caller) {
    const json body = json::parse(request.message.body, nullptr, false);
    if (m_waiting.size() >= k_max_waiting) {
      caller->send(stand_in::ServedResponse{429, "{}"}.bytes());
      return;
    }
    m_deployment.trace(fmt::format("POST /advise for {}, {} workers", body.value("Step", ""),
                                   body["Workers"].size()));
    m_waiting.push_back({body["Workers"], caller});
    if (!m_is_busy) {
      decide_next();
    }
  }

  void decide_next() {
    m_is_busy = !m_waiting.empty();
    if (!m_is_busy) {
      return;
    }
    const Call call = m_waiting.front();
    m_waiting.pop_front();
    const std::chrono::milliseconds time{
        m_terms.decision_ms + m_terms.per_worker_ms * static_cast<int>(call.workers.size())};
    m_deployment.after(time, [this, call, time] {
      const stand_in::ConnectionPtr caller = call.caller.lock();
      m_deployment.trace(fmt::format("the advice is given after {} ms{}", time.count(),
                                     caller ? "" : ", but the caller has left"));
      if (caller) {
        json eligible = json::array();
        for (const json& worker : call.workers) {
          eligible.push_back({worker, "ticket-of-" + worker.get<std::string>()});
        }
        caller->send(stand_in::ServedResponse{
            200, json{{"Eligible", eligible}, {"ValidMs", m_terms.valid_ms}}.dump()}
                         .bytes());
      }
      decide_next();
    });
  }

  Deployment& m_deployment;
  const AdviceTerms m_terms;
  stand_in::HttpService m_service;
  std::deque<Call> m_waiting;
  bool m_is_busy = false;
};

}  // namespace review
