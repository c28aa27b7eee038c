// Node processes, upstreams of one service, and the platform's store that both are registered in.
#pragma once

#include "fakes.h"

#include <gtest/gtest.h>

class StoreNodes : public testing::Test
{
protected:
  // Field of a configuration's routes: an idempotent route to the upstreams' service.
  static std::string
  Route (const std::string &name)
  {
    return ",\"" + name + "\":{\"host\":\"host.example\",\"path-prefix\":\"/" + name
           + "/\",\"kind\":\"idempotent\",\"timeout-s\":2,\"goal-s\":0.5,\"priority\":2,"
             "\"service\":\"desk\",\"attempts\":2}";
  }

  NodeProcess &
  StartNode (const std::string &zone, const std::string &store_address)
  {
    int number = (int) nodes_.size () + 1;
    nodes_.push_back (std::make_unique<NodeProcess> ("vm-" + std::to_string (number), zone,
                                                     store_address, number));
    return *nodes_.back ();
  }

  void
  StartUpstreams (int count)
  {
    for (int i = 0; i < count; i++)
      upstreams_.push_back (std::make_unique<FakeUpstream> ("up-" + std::to_string (i)));
  }

  void
  Configure (int version, const std::string &more_routes = "")
  {
    store_.Put ("config", "main", Configuration (version, more_routes));
  }

  int
  Status (NodeProcess &node, const std::string &path)
  {
    std::string id = "id-" + std::to_string (++requests_);
    return node.Call ("GET", path, { { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } }).status;
  }

  // Requests that upstreams `first` to `last` get of `requests` that are sent to each node.
  int
  Arrivals (int first, int last, int requests)
  {
    int before = CountArrivals (first, last);
    for (const auto &node : nodes_)
      for (int i = 0; i < requests; i++)
        Status (*node, "/read/" + std::to_string (i));
    return CountArrivals (first, last) - before;
  }

  std::string
  Logs () const
  {
    std::string text;
    for (const auto &node : nodes_)
      text += node->Log () + "\n";
    return text;
  }

  FakeStore store_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;

private:
  int
  CountArrivals (int first, int last) const
  {
    int count = 0;
    for (int i = first; i <= last; i++)
      count += upstreams_[i]->arrivals ();
    return count;
  }

  int requests_ = 0;
};
