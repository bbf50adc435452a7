// Header rules of the gateway.
#include "headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <openssl/crypto.h>

namespace arbutusdale::gateway {
namespace {

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr std::array<std::string_view, 13> k_not_forwarded{
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
    "TE", "Trailer", "Transfer-Encoding", "Upgrade",
    // Each connection has its own message framing.
    "Content-Length", "Expect",
    // Only daemons may set these.
    k_hop_header, k_verdict_header};

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string_view> connection_options(const HeaderList& headers) {
  std::vector<std::string_view> names;
  for (const auto& field : headers) {
    if (!same_name(field.name, "Connection")) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const auto comma = std::min(rest.find(','), rest.size());
      names.push_back(trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

bool contains(const auto& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view other) { return same_name(name, other); });
}

/// Replaces percent-encoded dots, which targets treat like dots.
std::string decode_dots(std::string_view path) {
  std::string out;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] == '%' && i + 2 < path.size() && path[i + 1] == '2' && lower(path[i + 2]) == 'e') {
      out += '.';
      i += 2;
    } else {
      out += path[i];
    }
  }
  return out;
}

bool has_dot_segment(std::string_view path) {
  const std::string decoded = decode_dots(path);
  std::size_t start = 0;
  while (start <= decoded.size()) {
    const auto end = std::min(decoded.find('/', start), decoded.size());
    const auto segment = std::string_view(decoded).substr(start, end - start);
    if (segment == "." || segment == "..") {
      return true;
    }
    start = end + 1;
  }
  return false;
}

}  // namespace

bool same_name(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return lower(a) == lower(b); });
}

const std::string* find_header(const HeaderList& headers, std::string_view name) {
  for (const auto& field : headers) {
    if (same_name(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

HeaderList end_to_end_headers(const HeaderList& headers) {
  const auto options = connection_options(headers);
  HeaderList out;
  out.reserve(headers.size());
  for (const auto& field : headers) {
    // Host is needed for routing at the target even if Connection names it.
    const bool named = !options.empty() && contains(options, field.name);
    if (contains(k_not_forwarded, field.name) || (named && !same_name(field.name, "Host"))) {
      continue;
    }
    out.push_back(field);
  }
  return out;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  text = trim(text);
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::string> origin_form(std::string_view target) {
  constexpr std::string_view k_scheme = "http://";
  if (target.size() > k_scheme.size() && same_name(target.substr(0, k_scheme.size()), k_scheme)) {
    const auto path = target.find_first_of("/?", k_scheme.size());
    target = path == std::string_view::npos ? "/" : target.substr(path);
  }
  const bool printable = std::all_of(target.begin(), target.end(),
                                     [](char c) { return c > ' ' && c != '\x7f' && c != '#'; });
  if (target.empty() || target.front() != '/' || !printable ||
      has_dot_segment(target.substr(0, target.find('?')))) {
    return std::nullopt;
  }
  return std::string(target);
}

bool same_secret(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace arbutusdale::gateway
