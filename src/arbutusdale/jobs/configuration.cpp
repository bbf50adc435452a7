// Queue lookup by host and path prefix.
#include "arbutusdale/jobs/configuration.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::jobs {

bool ConfigurationView::apply(Configuration configuration) {
  if (configuration.version <= m_configuration.version) {
    return false;
  }
  m_configuration = std::move(configuration);
  m_by_host.clear();
  const std::vector<Queue>& queues = m_configuration.queues;
  for (std::size_t i = 0; i < queues.size(); ++i) {
    m_by_host[queues[i].host].push_back(i);
  }
  for (auto& [host, indices] : m_by_host) {
    std::sort(indices.begin(), indices.end(), [&queues](std::size_t a, std::size_t b) {
      return queues[a].path_prefix.size() > queues[b].path_prefix.size();
    });
  }
  return true;
}

const Queue* ConfigurationView::find_queue(std::string_view host, std::string_view path) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const auto found = m_by_host.find(name);
  if (found == m_by_host.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const Queue& queue = m_configuration.queues[index];
    if (path.starts_with(queue.path_prefix)) {
      return &queue;
    }
  }
  return nullptr;
}

const Service* ConfigurationView::find_service(std::string_view name) const {
  const auto& services = m_configuration.services;
  const auto found = std::find_if(services.begin(), services.end(),
                                  [name](const Service& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

}  // namespace arbutusdale::jobs
