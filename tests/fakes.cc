#include "fakes.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace
{
// Stands for the response of a connection that returns nothing further.
const std::string kSilence = "silence";

std::string
Lower (std::string text)
{
  for (char &c : text)
    c = static_cast<char> (tolower (c));
  return text;
}

// Reads a message head up to its blank line, and puts bytes received after it into `rest`; false
// if the connection ends first.
bool
ReadHead (int fd, std::string *head, std::string *rest)
{
  char buffer[4096];
  while (head->find ("\r\n\r\n") == std::string::npos)
    {
      ssize_t n = recv (fd, buffer, sizeof buffer, 0);
      if (n <= 0)
        return false;
      head->append (buffer, static_cast<size_t> (n));
    }
  size_t end = head->find ("\r\n\r\n") + 4;
  *rest = head->substr (end);
  head->resize (end);
  return true;
}

Headers
ParseHeaders (const std::string &head)
{
  Headers headers;
  std::istringstream lines (head);
  std::string line;
  std::getline (lines, line);
  while (std::getline (lines, line) && line != "\r")
    {
      size_t colon = line.find (':');
      if (colon == std::string::npos)
        continue;
      size_t start = line.find_first_not_of (' ', colon + 1);
      size_t end = line.find_last_not_of ("\r ");
      headers[Lower (line.substr (0, colon))]
          = start == std::string::npos || end < start ? "" : line.substr (start, end - start + 1);
    }
  return headers;
}

bool
ReadMore (int fd, std::string *bytes)
{
  char buffer[65536];
  ssize_t n = recv (fd, buffer, sizeof buffer, 0);
  if (n <= 0)
    return false;
  bytes->append (buffer, static_cast<size_t> (n));
  return true;
}

std::string
Json (int status, const std::string &body)
{
  return "HTTP/1.1 " + std::to_string (status)
         + " X\r\nContent-Type: application/json\r\nContent-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

sockaddr_in
Address (const std::string &ip, int port)
{
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons (static_cast<uint16_t> (port));
  inet_pton (AF_INET, ip.c_str (), &addr.sin_addr);
  return addr;
}

// FNV-1a, by which nodes select the requests that they log.
uint32_t
Hash (const std::string &text)
{
  uint32_t hash = 2166136261u;
  for (char c : text)
    hash = (hash ^ static_cast<uint8_t> (c)) * 16777619u;
  return hash;
}
}

int
NowMs ()
{
  return static_cast<int> (std::chrono::duration_cast<std::chrono::milliseconds> (
                               std::chrono::steady_clock::now ().time_since_epoch ())
                               .count ());
}

std::string
SampledId (const std::string &prefix)
{
  for (int i = 0;; i++)
    if (Hash (prefix + std::to_string (i)) % 64 == 0)
      return prefix + std::to_string (i);
}

bool
WaitUntil (int timeout_ms, const std::function<bool ()> &condition)
{
  int end_ms = NowMs () + timeout_ms;
  while (NowMs () < end_ms)
    {
      if (condition ())
        return true;
      std::this_thread::sleep_for (std::chrono::milliseconds (10));
    }
  return condition ();
}

// ---- Listener ----

Listener::Listener (std::function<void (int)> serve) : serve_ (std::move (serve))
{
  port_ = FreePort ();
  Restart ();
}

Listener::~Listener ()
{
  Stop ();
  for (std::thread &thread : threads_)
    thread.join ();
}

void
Listener::Restart ()
{
  int one = 1;
  sockaddr_in addr = Address ("127.0.0.1", port_);
  if (accepting_.joinable () && !stopping_)
    return;
  stopping_ = false;
  fd_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  bind (fd_, reinterpret_cast<sockaddr *> (&addr), sizeof addr);
  listen (fd_, 128);
  accepting_ = std::thread ([this] { Run (); });
}

void
Listener::Run ()
{
  while (!stopping_)
    {
      pollfd poll_fd{ fd_, POLLIN, 0 };
      if (poll (&poll_fd, 1, 20) <= 0)
        continue;
      int fd = accept4 (fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      std::lock_guard<std::mutex> lock (mutex_);
      connections_.insert (fd);
      threads_.emplace_back ([this, fd] {
        serve_ (fd);
        std::lock_guard<std::mutex> inner (mutex_);
        connections_.erase (fd);
        close (fd);
      });
    }
}

void
Listener::Stop ()
{
  if (stopping_.exchange (true))
    return;
  accepting_.join ();
  close (fd_);
  std::lock_guard<std::mutex> lock (mutex_);
  for (int fd : connections_)
    shutdown (fd, SHUT_RDWR);
}

bool
ReadRequest (int fd, Request *request)
{
  std::string head;
  *request = Request ();
  if (!ReadHead (fd, &head, &request->body))
    return false;
  request->head = head;
  std::istringstream first (head);
  first >> request->method >> request->target;
  request->headers = ParseHeaders (head);
  size_t length = strtoul (request->headers["content-length"].c_str (), nullptr, 10);
  while (request->body.size () < length)
    if (!ReadMore (fd, &request->body))
      return false;
  return true;
}

void
WriteAll (int fd, const std::string &bytes)
{
  size_t sent = 0;
  while (sent < bytes.size ())
    {
      ssize_t n = send (fd, bytes.data () + sent, bytes.size () - sent, MSG_NOSIGNAL);
      if (n <= 0)
        return;
      sent += static_cast<size_t> (n);
    }
}

// ---- Store ----

FakeStore::FakeStore ()
    : listener_ (std::make_unique<Listener> ([this] (int fd) { Serve (fd, ""); }))
{
}

FakeStore::~FakeStore ()
{
  ending_ = true;
  changed_.notify_all ();
  added_listeners_.clear ();
  listener_.reset ();
}

std::string
FakeStore::address () const
{
  return listener_->address ();
}

std::string
FakeStore::AddAddress ()
{
  auto address = std::make_shared<std::string> ();
  added_listeners_.push_back (
      std::make_unique<Listener> ([this, address] (int fd) { Serve (fd, *address); }));
  *address = added_listeners_.back ()->address ();
  return *address;
}

void
FakeStore::SilenceAddedAddress (bool silent)
{
  added_silent_ = silent;
}

int
FakeStore::calls () const
{
  return calls_;
}

int
FakeStore::watches () const
{
  return watches_;
}

int
FakeStore::lists () const
{
  return lists_;
}

int
FakeStore::immediate_watches (const std::string &kind) const
{
  std::lock_guard<std::mutex> lock (mutex_);
  auto count = immediate_watches_.find (kind);
  return count != immediate_watches_.end () ? count->second : 0;
}

int
FakeStore::writes () const
{
  return writes_;
}

void
FakeStore::Put (const std::string &kind, const std::string &name, const std::string &spec)
{
  PutAll (kind, { { name, spec } });
}

namespace
{
std::string
EscapeJson (const std::string &text)
{
  std::string out;
  for (char c : text)
    {
      char escaped[8];
      snprintf (escaped, sizeof escaped, "\\u%04x", static_cast<unsigned char> (c));
      bool is_plain = static_cast<unsigned char> (c) >= ' ' && c != '"' && c != '\\';
      out += is_plain ? std::string (1, c) : escaped;
    }
  return out;
}

std::string
ObjectText (const std::string &name, const std::string &spec, long revision)
{
  return "{\"metadata\":{\"name\":\"" + EscapeJson (name) + "\",\"revision\":"
         + std::to_string (revision) + "},\"spec\":" + spec + ",\"status\":null}";
}
}

void
FakeStore::PutAll (const std::string &kind, const std::map<std::string, std::string> &specs)
{
  std::lock_guard<std::mutex> lock (mutex_);
  for (const auto &[name, spec] : specs)
    {
      ++revision_;
      objects_[kind][name] = { ObjectText (name, spec, revision_), revision_ };
      events_.push_back ({ kind, objects_[kind][name].text, false });
    }
  changed_.notify_all ();
}

void
FakeStore::PutText (const std::string &kind, const std::string &name, const std::string &text)
{
  std::lock_guard<std::mutex> lock (mutex_);
  objects_[kind][name] = { text, ++revision_ };
  events_.push_back ({ kind, text, false });
  changed_.notify_all ();
}

std::string
FakeStore::Text (const std::string &kind, const std::string &name) const
{
  std::lock_guard<std::mutex> lock (mutex_);
  auto objects = objects_.find (kind);
  if (objects == objects_.end () || objects->second.count (name) == 0)
    return "";
  return objects->second.at (name).text;
}

void
FakeStore::SetPageSize (size_t objects, Paging paging)
{
  std::lock_guard<std::mutex> lock (mutex_);
  page_size_ = objects;
  paging_ = paging;
}

void
FakeStore::SetTargetLimit (size_t bytes)
{
  target_limit_ = bytes;
}

void
FakeStore::Delete (const std::string &kind, const std::string &name)
{
  std::lock_guard<std::mutex> lock (mutex_);
  Object last = objects_[kind][name];
  objects_[kind].erase (name);
  ++revision_;
  events_.push_back ({ kind, last.text, true });
  changed_.notify_all ();
}

void
FakeStore::SetMode (Mode mode)
{
  mode_ = mode;
  changed_.notify_all ();
}

void
FakeStore::FreezeStaleLists ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  stale_objects_ = objects_;
  stale_revision_ = revision_;
}

void
FakeStore::ServeStaleLists (bool enabled)
{
  std::lock_guard<std::mutex> lock (mutex_);
  serves_stale_ = enabled;
}

void
FakeStore::ForgetHistory ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  history_start_ = revision_;
  changed_.notify_all ();
}

void
FakeStore::TakeCopy ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  copied_objects_ = objects_;
  copied_revision_ = revision_;
}

void
FakeStore::Restore ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  objects_ = copied_objects_;
  revision_ = copied_revision_;
  events_.resize (static_cast<size_t> (revision_ - 1));
  if (!era_.empty ())
    era_ = std::to_string (std::stol (era_) + 1);
  changed_.notify_all ();
}

void
FakeStore::SetEra (const std::string &era)
{
  std::lock_guard<std::mutex> lock (mutex_);
  era_ = era;
}

void
FakeStore::SilenceWatches (const std::string &kind, const std::string &address)
{
  std::lock_guard<std::mutex> lock (mutex_);
  silences_[{ kind, address }]++;
  changed_.notify_all ();
}

int
FakeStore::Silences (const std::string &kind, const std::string &address) const
{
  auto all = silences_.find ({ kind, "" });
  auto some = silences_.find ({ kind, address });
  int count = all != silences_.end () ? all->second : 0;
  return count + (!address.empty () && some != silences_.end () ? some->second : 0);
}

void
FakeStore::SetHandler (std::function<Handling (const Read &)> handler)
{
  std::lock_guard<std::mutex> lock (mutex_);
  handler_ = std::move (handler);
}

long
FakeStore::revision () const
{
  std::lock_guard<std::mutex> lock (mutex_);
  return revision_;
}

FakeStore::Handling
FakeStore::Handle (const Request &request, const std::string &address)
{
  std::lock_guard<std::mutex> lock (mutex_);
  const std::string &target = request.target;
  size_t start = strlen ("/objects/");
  if (!handler_ || request.method != "GET" || target.size () < start)
    return {};
  std::string kind = target.substr (start, target.find_first_of ("?/", start) - start);
  return handler_ ({ kind, address, target.find ("watch=") != std::string::npos,
                     target.find ("after=") != std::string::npos });
}

void
FakeStore::Serve (int fd, const std::string &address)
{
  Request request;
  while (ReadRequest (fd, &request))
    {
      calls_++;
      Handling handling = Handle (request, address);
      std::this_thread::sleep_for (std::chrono::milliseconds (handling.wait_ms));
      std::string answer = mode_ == Mode::kUp && !handling.lost ? Answer (request, address) : "";
      if (mode_ == Mode::kUnavailable)
        WriteAll (fd, AddEra (Json (503, "{}")));
      else if (mode_ == Mode::kClose)
        return;
      else if (mode_ == Mode::kUp && (answer == kSilence || handling.lost))
        break;
      else if (mode_ == Mode::kUp && !answer.empty () && (address.empty () || !added_silent_))
        {
          answer = AddEra (answer);
          std::this_thread::sleep_for (std::chrono::milliseconds (handling.hold_ms));
          WriteAll (fd, answer);
        }
    }
  while (ReadRequest (fd, &request))
    continue;
}

std::string
FakeStore::AddEra (std::string answer) const
{
  std::lock_guard<std::mutex> lock (mutex_);
  if (!era_.empty ())
    answer.insert (answer.find ("\r\n") + 2, "Store-Era: " + era_ + "\r\n");
  return answer;
}

std::string
FakeStore::List (const std::string &kind, bool may_be_stale, const std::string *after)
{
  lists_++;
  std::lock_guard<std::mutex> lock (mutex_);
  bool is_stale = may_be_stale && serves_stale_ && stale_revision_ > 0;
  const auto &objects = is_stale ? stale_objects_[kind] : objects_[kind];
  bool from_start = after == nullptr || paging_ == Paging::kIgnoresCursor;
  auto next = from_start ? objects.begin () : objects.upper_bound (*after);
  std::string items;
  for (size_t count = 0; next != objects.end () && count < page_size_; ++next, ++count)
    items += (items.empty () ? "" : ",") + next->second.text;
  bool more = next != objects.end () || paging_ == Paging::kWithoutEnd;
  return Json (200, "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false")
                        + ",\"as-of\":" + std::to_string (is_stale ? stale_revision_ : revision_)
                        + "}");
}

std::string
FakeStore::Watch (const std::string &kind, long from, int wait_ms, const std::string &address)
{
  std::unique_lock<std::mutex> lock (mutex_);
  std::string found;
  int silences = Silences (kind, address);
  auto scan = [&] {
    found.clear ();
    long at = 1;
    for (const Event &event : events_)
      {
        at++;
        if (at <= from || event.kind != kind)
          continue;
        found += std::string (found.empty () ? "" : ",") + "{\"deleted\":"
                 + (event.deleted ? "true" : "false") + ",\"object\":" + event.text + "}";
      }
    return !found.empty () || from < history_start_ || from > revision_ || ending_
           || Silences (kind, address) != silences || mode_ != Mode::kUp;
  };
  if (wait_ms == 0)
    immediate_watches_[kind]++;
  watches_++;
  changed_.wait_for (lock, std::chrono::milliseconds (wait_ms), scan);
  watches_--;
  if (Silences (kind, address) != silences)
    return kSilence;
  if (from < history_start_ || from > revision_)
    return Json (410, "{}");
  return Json (200, "{\"events\":[" + found + "],\"as-of\":" + std::to_string (revision_) + "}");
}

std::string
FakeStore::Write (const Request &request, const std::string &kind, const std::string &name)
{
  writes_++;
  size_t at = request.body.find ("\"spec\":");
  std::string spec = request.body.substr (at + 7, request.body.size () - at - 8);
  std::string target = name;
  if (request.method == "POST")
    {
      size_t start = request.body.find ("\"name\":\"") + 8;
      target = request.body.substr (start, request.body.find ('"', start) - start);
      std::lock_guard<std::mutex> lock (mutex_);
      if (objects_[kind].count (target) > 0)
        return Json (409, "{}");
    }
  Put (kind, target, spec);
  return Json (200, "{}");
}

namespace
{
// Decodes a percent-encoded text; false where a character should have been encoded.
bool
PercentDecode (const std::string &text, std::string *out)
{
  static const std::string plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                   "0123456789-._~/";
  static const std::string hex = "0123456789ABCDEFabcdef";
  for (size_t i = 0; i < text.size (); i++)
    {
      bool is_encoded
          = text[i] == '%' && i + 2 < text.size () && text.find_first_not_of (hex, i + 1) > i + 2;
      if (is_encoded)
        out->push_back (static_cast<char> (std::stoi (text.substr (i + 1, 2), nullptr, 16)));
      else if (plain.find (text[i]) != std::string::npos)
        out->push_back (text[i]);
      else
        return false;
      i += is_encoded ? 2 : 0;
    }
  return true;
}

// Reads "name=value&name=value"; false if it is malformed.
bool
ParseQuery (const std::string &query, std::map<std::string, std::string> *values)
{
  std::istringstream parts (query);
  std::string part;
  while (std::getline (parts, part, '&'))
    {
      size_t equals = part.find ('=');
      std::string value;
      if (equals == std::string::npos || !PercentDecode (part.substr (equals + 1), &value))
        return false;
      (*values)[part.substr (0, equals)] = value;
    }
  return true;
}
}

std::string
FakeStore::Answer (const Request &request, const std::string &address)
{
  if (request.target.size () > target_limit_)
    return Json (414, "{}");
  size_t mark = request.target.find ('?');
  std::map<std::string, std::string> query;
  std::string path;
  if (!PercentDecode (request.target.substr (0, mark), &path)
      || (mark != std::string::npos && !ParseQuery (request.target.substr (mark + 1), &query)))
    return Json (400, "{}");
  std::string rest = path.substr (std::min (path.size (), strlen ("/objects/")));
  size_t slash = rest.find ('/');
  std::string kind = rest.substr (0, slash);
  std::string name = slash == std::string::npos ? "" : rest.substr (slash + 1);
  if (request.method != "GET")
    return Write (request, kind, name);
  if (query.count ("watch") == 0)
    return List (kind, query["allow-stale"] == "1",
                 query.count ("after") > 0 ? &query["after"] : nullptr);
  return Watch (kind, atol (query["watch"].c_str ()), atoi (query["wait-ms"].c_str ()), address);
}

// ---- Upstream ----

FakeUpstream::FakeUpstream (const std::string &id, int work_ms)
    : id_ (id), work_ms_ (work_ms), behaviour_ ([this] (int fd, const Request &request) {
        WriteAll (fd, SignedResponse (request, "ok"));
      }),
      listener_ (std::make_unique<Listener> ([this] (int fd) { Serve (fd); }))
{
}

std::string
FakeUpstream::address () const
{
  return listener_->address ();
}

void
FakeUpstream::Stop ()
{
  listener_->Stop ();
}

void
FakeUpstream::Restart ()
{
  listener_->Restart ();
}

void
FakeUpstream::SetBehaviour (Behaviour behaviour)
{
  std::lock_guard<std::mutex> lock (mutex_);
  behaviour_ = std::move (behaviour);
}

void
FakeUpstream::SetWork (int work_ms)
{
  work_ms_ = work_ms;
}

std::string
FakeUpstream::SignedResponse (const Request &request, const std::string &body) const
{
  auto id = request.headers.find ("x-request-id");
  return "HTTP/1.1 200 OK\r\nX-Response-Signature: 1.2.3\r\nX-Request-Id: "
         + (id != request.headers.end () ? id->second : "none")
         + "\r\nContent-Length: " + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

std::string
FakeUpstream::Record (const std::string &service, const std::string &zone, const std::string &state,
                      const std::string &more) const
{
  return "{\"service\":\"" + service + "\",\"address\":\"" + address () + "\",\"zone\":\"" + zone
         + "\",\"version\":\"v1\",\"slots\":4,\"state\":\"" + state + "\"" + more + ",\"seq\":1}";
}

void
FakeUpstream::Serve (int fd)
{
  Request request;
  while (ReadRequest (fd, &request))
    {
      Behaviour behaviour;
      {
        std::lock_guard<std::mutex> lock (mutex_);
        requests_.push_back (request);
        times_ms_.push_back (NowMs ());
        runs_[request.headers["x-request-id"]]++;
        concurrent_++;
        max_concurrent_ = std::max (max_concurrent_, concurrent_);
        behaviour = behaviour_;
      }
      std::this_thread::sleep_for (std::chrono::milliseconds (work_ms_.load ()));
      behaviour (fd, request);
      std::lock_guard<std::mutex> lock (mutex_);
      concurrent_--;
    }
}

int
FakeUpstream::arrivals () const
{
  std::lock_guard<std::mutex> lock (mutex_);
  return static_cast<int> (requests_.size ());
}

int
FakeUpstream::runs (const std::string &request_id) const
{
  std::lock_guard<std::mutex> lock (mutex_);
  auto found = runs_.find (request_id);
  return found != runs_.end () ? found->second : 0;
}

int
FakeUpstream::max_concurrent () const
{
  std::lock_guard<std::mutex> lock (mutex_);
  return max_concurrent_;
}

std::vector<int>
FakeUpstream::arrival_times_ms () const
{
  std::lock_guard<std::mutex> lock (mutex_);
  return times_ms_;
}

std::vector<Request>
FakeUpstream::requests () const
{
  std::lock_guard<std::mutex> lock (mutex_);
  return requests_;
}

// ---- Node ----

NodeProcess::NodeProcess (const std::string &vm, const std::string &zone,
                          const std::string &store_address, int ip_last, const std::string &limits)
    : vm_ (vm), zone_ (zone), ip_ ("127.0.0." + std::to_string (ip_last)), metrics_ (FreePort ()),
      front_ (FreePort ()), ready_ (FreePort ()), lookup_ (FreePort ()), peer_ (FreePort ())
{
  char folder[] = "/tmp/cardamom-test-XXXXXX";
  folder_ = mkdtemp (folder);
  WriteSettings (store_address, limits);
  Start ();
}

NodeProcess::~NodeProcess ()
{
  if (pid_ > 0)
    {
      kill (pid_, SIGKILL);
      waitpid (pid_, nullptr, 0);
    }
  unlink ((folder_ + "/node.json").c_str ());
  unlink ((folder_ + "/log").c_str ());
  rmdir (folder_.c_str ());
}

void
NodeProcess::WriteSettings (const std::string &store_address, const std::string &limits)
{
  std::ofstream out (folder_ + "/node.json");
  auto addr = [this] (int port) { return "\"" + ip_ + ":" + std::to_string (port) + "\""; };
  out << "{\"self\":{\"node\":\"" << vm_ << "\",\"zone\":\"" << zone_ << "\""
      << (limits.empty () ? "" : ",\"limits\":" + limits) << "},"
      << "\"network\":{\"listen\":{\"front\":" << addr (front_) << ",\"ready\":" << addr (ready_)
      << ",\"directory\":" << addr (lookup_) << "},\"internal-ports\":[" << peer_ << ","
      << peer_ + 9 << "],\"zones\":{\"east-a\":\"east\",\"east-b\":\"east\",\"west-a\":\"west\"}},"
      << "\"provider\":{\"heartbeat-s\":1.5,\"provider\":{\"address\":\"" << store_address
      << "\"}},\"terms\":{\"bounds\":{\"grace-s\":6,\"retry-ratio\":0.2,\"budget-window-s\":10,"
      << "\"budget-extra\":60,\"ttl_max_s\":5}}}";
}

void
NodeProcess::Start ()
{
  std::string log = folder_ + "/log";
  std::string settings = folder_ + "/node.json";
  pid_ = fork ();
  if (pid_ != 0)
    return;
  int fd = open (log.c_str (), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, 1);
  dup2 (fd, 2);
  setenv ("CARDAMOMCRANK_CONFIG", settings.c_str (), 1);
  std::string metrics = "--metrics-port=" + std::to_string (metrics_);
  execl (PROGRAMS_DIR "/cardamom-node", "cardamom-node", metrics.c_str (), nullptr);
  _exit (127);
}

void
NodeProcess::Signal (int signal)
{
  kill (pid_, signal);
}

int
NodeProcess::WaitExit (int timeout_ms)
{
  int status = 0;
  if (!WaitUntil (timeout_ms, [&] { return waitpid (pid_, &status, WNOHANG) == pid_; }))
    return -1;
  pid_ = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -2;
}

bool
NodeProcess::WaitReady (int timeout_ms)
{
  return WaitUntil (timeout_ms, [this] { return Ready ().status == 200; });
}

Reply
NodeProcess::Ready ()
{
  return Fetch (ip_, ready_, "GET", "/ready", {}, "", 1000);
}

Reply
NodeProcess::Lookup (const std::string &region)
{
  return Fetch (ip_, lookup_, "GET", "/resolve?name=host.example&region=" + region + "&zone=x", {},
                "", 1000);
}

Reply
NodeProcess::Status (const std::string &path)
{
  return Fetch (ip_, metrics_, "GET", path, {}, "", 2000);
}

Reply
NodeProcess::Call (const std::string &method, const std::string &path, const Headers &headers,
                   const std::string &body, int timeout_ms)
{
  return Fetch (ip_, front_, method, path, headers, body, timeout_ms);
}

long
NodeProcess::PeakMemoryKb () const
{
  std::ifstream status ("/proc/" + std::to_string (pid_) + "/status");
  std::string line;
  while (std::getline (status, line))
    if (line.rfind ("VmHWM:", 0) == 0)
      return atol (line.c_str () + strlen ("VmHWM:"));
  return -1;
}

std::string
NodeProcess::Log () const
{
  std::ifstream in (folder_ + "/log");
  std::stringstream text;
  text << in.rdbuf ();
  return text.str ();
}

std::string
NodeProcess::front () const
{
  return ip_ + ":" + std::to_string (front_);
}

std::string
NodeProcess::relay () const
{
  return ip_ + ":" + std::to_string (peer_ + 1);
}

int
NodeProcess::OpenDescriptors () const
{
  std::filesystem::directory_iterator files ("/proc/" + std::to_string (pid_) + "/fd");
  return (int) std::distance (begin (files), end (files));
}

std::string
NodeProcess::metrics () const
{
  return ip_ + ":" + std::to_string (metrics_);
}

std::string
NodeProcess::lookup () const
{
  return ip_ + ":" + std::to_string (lookup_);
}

std::string
NodeProcess::peer () const
{
  return ip_ + ":" + std::to_string (peer_);
}

// ---- Caller ----

namespace
{
// Decodes the chunks in `bytes`; true if the last chunk has been received.
bool
DecodeChunks (const std::string &bytes, std::string *body)
{
  size_t at = 0;
  while (true)
    {
      size_t end = bytes.find ("\r\n", at);
      if (end == std::string::npos)
        return false;
      size_t size = strtoul (bytes.substr (at, end - at).c_str (), nullptr, 16);
      if (size == 0)
        return true;
      if (bytes.size () < end + 2 + size + 2)
        return false;
      body->append (bytes, end + 2, size);
      at = end + 2 + size + 2;
    }
}

void
ReadReply (int fd, Reply *reply)
{
  std::string head;
  std::string rest;
  if (!ReadHead (fd, &head, &rest))
    return;
  reply->status = atoi (head.substr (head.find (' ') + 1, 3).c_str ());
  reply->headers = ParseHeaders (head);
  if (reply->headers.count ("content-length") > 0)
    {
      size_t length = strtoul (reply->headers["content-length"].c_str (), nullptr, 10);
      reply->framed = true;
      while (rest.size () < length && ReadMore (fd, &rest))
        continue;
      reply->body = rest.substr (0, length);
      reply->whole = rest.size () >= length;
      return;
    }
  bool chunked = reply->headers["transfer-encoding"] == "chunked";
  reply->framed = chunked;
  while (!(chunked && DecodeChunks (rest, &reply->body)))
    {
      reply->body.clear ();
      if (!ReadMore (fd, &rest))
        {
          reply->body = chunked ? reply->body : rest;
          reply->whole = !chunked;
          return;
        }
    }
  reply->whole = true;
}
}

int
Connect (const std::string &address, int receive_buffer_bytes)
{
  size_t colon = address.find (':');
  sockaddr_in addr = {};
  addr.sin_family = AF_INET;
  addr.sin_port = htons (std::stoi (address.substr (colon + 1)));
  inet_pton (AF_INET, address.substr (0, colon).c_str (), &addr.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  if (connect (fd, reinterpret_cast<sockaddr *> (&addr), sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

void
CloseWithReset (int fd)
{
  linger reset = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
}

Download
ReadDownload (int fd, size_t piece_bytes, int pause_ms, const std::atomic<bool> *paused)
{
  const std::string end = "\r\n\r\n";
  Download download;
  std::string head;
  std::vector<char> piece (piece_bytes);
  ssize_t size;
  while ((size = recv (fd, piece.data (), piece.size (), 0)) > 0)
    {
      bool was_in_head = download.status == 0;
      if (was_in_head)
        head.append (piece.data (), (size_t) size);
      else
        download.body_bytes += (size_t) size;
      size_t body = head.find (end);
      if (was_in_head && body != std::string::npos)
        {
          download.status = std::stoi (head.substr (strlen ("HTTP/1.1 "), 3));
          download.body_bytes = head.size () - body - end.size ();
          while (paused != nullptr && *paused)
            std::this_thread::sleep_for (1ms);
        }
      std::this_thread::sleep_for (std::chrono::milliseconds (pause_ms));
    }
  download.ended_in_order = size == 0;
  return download;
}

void
WriteUnframedResponse (int fd, const Request &request, size_t body_bytes)
{
  WriteAll (fd, "HTTP/1.1 200 OK\r\nX-Response-Signature: 1\r\nX-Request-Id: "
                    + request.headers.at ("x-request-id") + "\r\nConnection: close\r\n\r\n"
                    + std::string (body_bytes, 'f'));
  shutdown (fd, SHUT_RDWR);
}

Reply
Fetch (const std::string &ip, int port, const std::string &method, const std::string &path,
       const Headers &headers, const std::string &body, int timeout_ms)
{
  Reply reply;
  int start_ms = NowMs ();
  sockaddr_in addr = Address (ip, port);
  timeval limit{ timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  std::string message = method + " " + path + " HTTP/1.1\r\nHost: host.example\r\n";
  for (const auto &[name, value] : headers)
    message += name + ": " + value + "\r\n";
  if (!body.empty ())
    message += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
  message += "\r\n" + body;
  if (connect (fd, reinterpret_cast<sockaddr *> (&addr), sizeof addr) == 0)
    {
      WriteAll (fd, message);
      ReadReply (fd, &reply);
    }
  close (fd);
  reply.elapsed_ms = NowMs () - start_ms;
  return reply;
}

std::string
Exchange (const std::string &ip, int port, const std::vector<std::string> &pieces, int pause_ms,
          int timeout_ms)
{
  sockaddr_in addr = Address (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  std::string answer;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, reinterpret_cast<sockaddr *> (&addr), sizeof addr) == 0)
    {
      for (const std::string &piece : pieces)
        {
          WriteAll (fd, piece);
          std::this_thread::sleep_for (std::chrono::milliseconds (pause_ms));
        }
      char bytes[4096];
      for (ssize_t n = 1; n > 0;)
        if ((n = recv (fd, bytes, sizeof bytes, 0)) > 0)
          answer.append (bytes, (size_t) n);
    }
  close (fd);
  return answer;
}

long
NodeProcess::Metric (const std::string &name)
{
  std::string metrics = "\n" + Status ("/metrics").body;
  size_t at = metrics.find ("\n" + name + " ");
  return at == std::string::npos ? -1 : std::stol (metrics.substr (at + name.size () + 2));
}

std::string
NodeProcess::ExchangeBytes (const std::vector<std::string> &pieces, int pause_ms, int timeout_ms)
{
  return Exchange (ip_, front_, pieces, pause_ms, timeout_ms);
}

void
SendLine (const std::string &ip, int port, const std::string &line)
{
  sockaddr_in addr = Address (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, reinterpret_cast<sockaddr *> (&addr), sizeof addr) == 0)
    WriteAll (fd, line);
  std::this_thread::sleep_for (std::chrono::milliseconds (20));
  close (fd);
}

std::string
Configuration (int version, const std::string &more_routes, const std::string &route_fields)
{
  auto route = [&] (const char *name, const char *prefix, const char *kind, int priority) {
    return std::string ("\"") + name + "\":{\"host\":\"host.example\",\"path-prefix\":\"" + prefix
           + "\",\"kind\":\"" + kind + "\"," + route_fields
           + ",\"priority\":" + std::to_string (priority)
           + ",\"service\":\"desk\",\"attempts\":2,\"sticky\":true,\"allowed-regions\":[]}";
  };
  return "{\"version\":\"r" + std::to_string (version) + "\",\"routes\":{"
         + route ("read", "/read/", "idempotent", 2) + ","
         + route ("post", "/post/", "non_idempotent", 1) + ","
         + route ("load", "/load/", "download", 2) + more_routes
         + "},\"services\":{\"desk\":{\"health-path\":\"/health\",\"max-conns\":100,"
           "\"cold-start-s\":3,\"cold-per-s\":6},\"other\":{\"health-path\":\"/health\","
           "\"max-conns\":100,\"cold-start-s\":3,\"cold-per-s\":6}},\"limits\":{"
           "\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-s\":3,"
           "\"idle-timeout-s\":15}}";
}
