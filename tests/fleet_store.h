// Store of a simulated fleet: objects by kind, and the return from an older copy.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

class FleetStore
{
public:
  struct Object
  {
    uint64_t revision;
    bool deleted;
    std::string value;
  };
  using Objects = std::map<std::string, Object>;

  // Without eras until the first Return(), unless SetEra() is called.
  uint64_t
  era () const
  {
    return era_;
  }

  void
  SetEra (uint64_t era)
  {
    era_ = era;
  }

  uint64_t
  revision () const
  {
    return state_.revision;
  }

  const Objects &
  objects (const std::string &kind)
  {
    return state_.kinds[kind];
  }

  uint64_t
  Write (const std::string &kind, const std::string &name, const std::string &value)
  {
    state_.kinds[kind][name] = Object{ ++state_.revision, false, value };
    return state_.revision;
  }

  uint64_t
  Delete (const std::string &kind, const std::string &name)
  {
    state_.kinds[kind][name] = Object{ ++state_.revision, true, "" };
    return state_.revision;
  }

  // Takes the copy from which Return() restores.
  void
  Copy ()
  {
    copy_ = state_;
  }

  // All that was written since Copy() is lost; revisions after the copy's are given out again.
  void
  Return ()
  {
    state_ = copy_;
    era_++;
  }

private:
  struct State
  {
    uint64_t revision = 1;
    std::map<std::string, Objects> kinds;
  };

  uint64_t era_ = 0;
  State state_;
  State copy_;
};
