// Answer side of a call: written by any thread, read by the connection's thread.
#include <algorithm>
#include <cstring>
#include <limits>

#include "http_server_impl.hpp"

namespace arbutusdale::gateway {
namespace {

// High and low watermark of the bytes buffered for a slow caller: the target is paused at the first
// and resumed at the second.
constexpr std::size_t k_buffer_high_bytes = 262'144;
constexpr std::size_t k_buffer_low_bytes = 65'536;
constexpr std::size_t k_block_bytes = 32'768;

using SharedExchange = std::shared_ptr<Exchange>;

int socket_of(MHD_Connection* connection) {
  const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

/// libmicrohttpd refuses values with tabs.
std::string header_value(std::string value) {
  std::replace(value.begin(), value.end(), '\t', ' ');
  return value;
}

void free_string(void* context) {
  delete static_cast<std::string*>(context);
}

}  // namespace

Exchange::~Exchange() {
  m_server.release_bytes(m_counted_bytes);
}

void Exchange::respond(Answer answer) {
  const std::lock_guard lock(m_mutex);
  if (m_answer_ready) {
    return;
  }
  m_head = std::move(answer.head);
  m_buffer = std::move(answer.body);
  m_length = m_buffer.size();
  m_answer_ready = true;
  m_ended = true;
  m_complete = true;
  resume_locked();
}

void Exchange::begin_stream(AnswerHead head, std::optional<std::uint64_t> length,
                            std::function<void()> on_drained) {
  const std::lock_guard lock(m_mutex);
  if (m_answer_ready) {
    return;
  }
  m_head = std::move(head);
  m_length = length;
  m_on_drained = std::move(on_drained);
  m_streaming = true;
  m_answer_ready = true;
  resume_locked();
}

WriteResult Exchange::write(std::string_view data) {
  const std::lock_guard lock(m_mutex);
  if (m_connection == nullptr || m_ended) {
    return WriteResult::disconnected;
  }
  const std::size_t waiting = m_buffer.size() - m_read;
  if (waiting > 0 && waiting + data.size() > k_buffer_high_bytes) {
    m_writer_waits = true;
    return WriteResult::full;
  }
  m_buffer.append(data);
  resume_locked();
  return WriteResult::taken;
}

void Exchange::end_stream(bool complete) {
  const std::lock_guard lock(m_mutex);
  if (m_ended) {
    return;
  }
  m_ended = true;
  m_complete = complete;
  m_on_drained = nullptr;
  resume_locked();
}

void Exchange::watch_caller(std::function<void()> on_disconnect) {
  const std::lock_guard lock(m_mutex);
  // Once the answer is ready the connection is resumed, and libmicrohttpd may close the socket.
  if (m_connection == nullptr || m_answer_ready || m_watched) {
    return;
  }
  m_on_disconnect = std::move(on_disconnect);
  m_watched = m_server.watch().add(socket_of(m_connection), m_id);
}

void Exchange::caller_disconnected() {
  std::function<void()> on_disconnect;
  {
    const std::lock_guard lock(m_mutex);
    on_disconnect = std::move(m_on_disconnect);
    m_on_disconnect = nullptr;
  }
  if (on_disconnect) {
    on_disconnect();
  }
}

void Exchange::resume_locked() {
  if (m_connection == nullptr) {
    return;
  }
  if (m_watched) {
    m_server.watch().remove(socket_of(m_connection));
    m_watched = false;
    m_on_disconnect = nullptr;
  }
  if (!m_suspended) {
    return;
  }
  m_suspended = false;
  MHD_resume_connection(m_connection);
  m_server.count_suspended(-1);
}

/// Called when the connection has ended; notifies a paused writer.
void Exchange::close() {
  std::function<void()> drained;
  {
    const std::lock_guard lock(m_mutex);
    m_connection = nullptr;
    m_on_disconnect = nullptr;
    if (m_writer_waits) {
      m_writer_waits = false;
      drained = m_on_drained;
    }
  }
  if (drained) {
    drained();
  }
}

bool Exchange::queue_answer(MHD_Connection* connection) {
  MHD_Response* response = nullptr;
  int status = 0;
  {
    const std::lock_guard lock(m_mutex);
    response = make_response_locked();
    status = m_head.status;
  }
  if (response == nullptr) {
    return false;
  }
  for (const auto& field : m_head.headers) {
    MHD_add_response_header(response, field.name.c_str(), header_value(field.value).c_str());
  }
  if (m_server.closing()) {
    MHD_add_response_header(response, "Connection", "close");
  }
  const auto queued = MHD_queue_response(connection, static_cast<unsigned>(status), response);
  MHD_destroy_response(response);
  return queued == MHD_YES;
}

MHD_Response* Exchange::make_response_locked() {
  if (!m_streaming) {
    auto* body = new std::string(std::move(m_buffer));
    m_buffer.clear();
    return MHD_create_response_from_buffer_with_free_callback_cls(body->size(), body->data(),
                                                                  free_string, body);
  }
  const auto reader = [](void* context, std::uint64_t /*position*/, char* out,
                         std::size_t max) -> ssize_t {
    return (*static_cast<SharedExchange*>(context))->read_body(out, max);
  };
  const auto release = [](void* context) { delete static_cast<SharedExchange*>(context); };
  const std::uint64_t size = m_length.value_or(MHD_SIZE_UNKNOWN);
  const std::size_t block = std::clamp<std::uint64_t>(size, 1, k_block_bytes);
  auto* self = new SharedExchange(shared_from_this());
  return MHD_create_response_from_callback(size, block, reader, self, release);
}

std::int64_t Exchange::read_body(char* out, std::size_t max) {
  std::function<void()> drained;
  std::int64_t count = 0;
  {
    const std::lock_guard lock(m_mutex);
    const std::size_t waiting = m_buffer.size() - m_read;
    if (waiting == 0) {
      if (m_ended) {
        return m_complete ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
      }
      return suspend_locked() ? 0 : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const std::size_t size = std::min(waiting, max);
    std::memcpy(out, m_buffer.data() + m_read, size);
    m_read += size;
    if (m_read == m_buffer.size()) {
      m_buffer.clear();
      m_read = 0;
    } else if (m_read >= k_buffer_low_bytes) {
      m_buffer.erase(0, m_read);
      m_read = 0;
    }
    if (m_writer_waits && m_buffer.size() - m_read <= k_buffer_low_bytes) {
      m_writer_waits = false;
      drained = m_on_drained;
    }
    count = static_cast<std::int64_t>(size);
  }
  if (drained) {
    drained();
  }
  return count;
}

bool Exchange::suspend_locked() {
  // Counted before the check of `stopping`, so that the server either sees this connection as
  // suspended or this function sees that the server stops.
  m_server.count_suspended(1);
  if (m_server.stopping() || m_connection == nullptr) {
    m_server.count_suspended(-1);
    return false;
  }
  m_suspended = true;
  MHD_suspend_connection(m_connection);
  return true;
}

}  // namespace arbutusdale::gateway
