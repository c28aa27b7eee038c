#include "store.h"

#include <algorithm>

namespace
{
std::string
Json (int status, const std::string &body)
{
  return "HTTP/1.1 " + std::to_string (status)
         + " X\r\nContent-Type: application/json\r\nContent-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

std::string
QueryValue (const std::string &target, const std::string &name)
{
  size_t at = target.find (name + "=");
  if (at == std::string::npos)
    return "";
  at += name.size () + 1;
  return target.substr (at, target.find ('&', at) - at);
}

std::string
ObjectText (const std::string &name, const std::string &spec, long revision)
{
  return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string (revision)
         + "},\"spec\":" + spec + ",\"status\":null}";
}
}

Store::Store ()
    : listener_ (std::make_unique<Listener> ([this] (int fd) {
        Request request;
        while (ReadRequest (fd, &request))
          WriteAll (fd, Answer (request));
      }))
{
}

Store::~Store ()
{
  {
    std::lock_guard<std::mutex> lock (mutex_);
    ending_ = true;
  }
  changed_.notify_all ();
  listener_.reset ();
}

std::string
Store::address () const
{
  return listener_->address ();
}

void
Store::Append (const std::string &kind, const std::string &name, const std::string &spec,
               bool deleted)
{
  std::lock_guard<std::mutex> lock (mutex_);
  long revision = static_cast<long> (events_.size ()) + 1;
  events_.push_back ({ kind, name, spec, revision, deleted, NowMs () });
  changed_.notify_all ();
}

void
Store::Put (const std::string &kind, const std::string &name, const std::string &spec)
{
  Append (kind, name, spec, false);
}

void
Store::Delete (const std::string &kind, const std::string &name)
{
  Append (kind, name, "{}", true);
}

void
Store::SetStaleAge (int age_ms)
{
  std::lock_guard<std::mutex> lock (mutex_);
  stale_age_ms_ = age_ms;
}

int
Store::lists (const std::string &kind) const
{
  std::lock_guard<std::mutex> lock (mutex_);
  auto found = lists_.find (kind);
  return found != lists_.end () ? found->second : 0;
}

std::string
Store::List (const std::string &kind, int age_ms)
{
  std::lock_guard<std::mutex> lock (mutex_);
  std::map<std::string, const Event *> state;
  long revision = 0;
  for (const Event &event : events_)
    {
      if (age_ms > 0 && event.at_ms > NowMs () - age_ms)
        break;
      revision = event.revision;
      if (event.kind == kind)
        state[event.name] = event.deleted ? nullptr : &event;
    }
  std::string items;
  for (const auto &[name, event] : state)
    if (event != nullptr)
      items += (items.empty () ? "" : ",") + ObjectText (name, event->spec, event->revision);
  lists_[kind]++;
  return Json (200, "{\"items\":[" + items + "],\"more\":false,\"as-of\":"
                        + std::to_string (revision) + "}");
}

std::string
Store::Watch (const std::string &kind, long from, int wait_ms)
{
  std::unique_lock<std::mutex> lock (mutex_);
  std::string found;
  changed_.wait_for (lock, std::chrono::milliseconds (wait_ms), [&] {
    found.clear ();
    for (size_t i = static_cast<size_t> (from); i < events_.size (); i++)
      if (events_[i].kind == kind)
        found += std::string (found.empty () ? "" : ",") + "{\"deleted\":"
                 + (events_[i].deleted ? "true" : "false") + ",\"object\":"
                 + ObjectText (events_[i].name, events_[i].spec, events_[i].revision) + "}";
    return !found.empty () || ending_;
  });
  return Json (200, "{\"events\":[" + found + "],\"as-of\":" + std::to_string (events_.size ())
                        + "}");
}

std::string
Store::Write (const Request &request, const std::string &kind, const std::string &name)
{
  size_t at = request.body.find ("\"spec\":");
  std::string spec = request.body.substr (at + 7, request.body.size () - at - 8);
  std::string target = name;
  if (request.method == "POST")
    {
      size_t start = request.body.find ("\"name\":\"") + 8;
      target = request.body.substr (start, request.body.find ('"', start) - start);
      std::lock_guard<std::mutex> lock (mutex_);
      auto last = std::find_if (events_.rbegin (), events_.rend (), [&] (const Event &event) {
        return event.kind == kind && event.name == target;
      });
      if (last != events_.rend () && !last->deleted)
        return Json (409, "{}");
    }
  Put (kind, target, spec);
  return Json (200, "{}");
}

std::string
Store::Answer (const Request &request)
{
  std::string path = request.target.substr (0, request.target.find ('?'));
  std::string rest = path.substr (std::min (path.size (), sizeof "/objects/" - 1));
  size_t slash = rest.find ('/');
  std::string kind = rest.substr (0, slash);
  std::string name = slash == std::string::npos ? "" : rest.substr (slash + 1);
  if (request.method != "GET")
    return Write (request, kind, name);
  std::string watch = QueryValue (request.target, "watch");
  if (!watch.empty ())
    return Watch (kind, atol (watch.c_str ()),
                  atoi (QueryValue (request.target, "wait-ms").c_str ()));
  int age_ms = 0;
  if (QueryValue (request.target, "allow-stale") == "1")
    {
      std::lock_guard<std::mutex> lock (mutex_);
      age_ms = stale_age_ms_;
    }
  return List (kind, age_ms);
}
