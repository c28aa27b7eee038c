// The platform's metadata store, as PROTOCOL.md describes it: lists, of which those that allow it
// may be some seconds old, watches, and writes.
#pragma once

#include "fakes.h"

class Store
{
public:
  Store ();
  ~Store ();
  void Put (const std::string &kind, const std::string &name, const std::string &spec);
  void Delete (const std::string &kind, const std::string &name);
  // Lists with allow-stale=1 are answered from the state of `age_ms` ago.
  void SetStaleAge (int age_ms);
  // Lists of the kind answered so far.
  int lists (const std::string &kind) const;
  std::string address () const;

private:
  struct Event
  {
    std::string kind;
    std::string name;
    std::string spec;
    long revision;
    bool deleted;
    int at_ms;
  };
  void Append (const std::string &kind, const std::string &name, const std::string &spec,
               bool deleted);
  std::string Answer (const Request &request);
  std::string List (const std::string &kind, int age_ms);
  std::string Watch (const std::string &kind, long from, int wait_ms);
  std::string Write (const Request &request, const std::string &kind, const std::string &name);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Event> events_; // the event at index i has revision i + 1
  std::map<std::string, int> lists_;
  int stale_age_ms_ = 0;
  bool ending_ = false;
  std::unique_ptr<Listener> listener_;
};
