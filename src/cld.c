/* Assigns each cold upstream to a few nodes, alike on all nodes. Pure: no I/O and no clock. */
#include "cld.h"

static uint32_t
rendezvous_score (const CldNode *node, uint32_t upstream_hash)
{
  return (node->hash ^ upstream_hash) * 0x9e3779b1u;
}

bool
cld_is_assigned (const CldNode *self, const CldNode *others, uint32_t count, uint32_t upstream_hash,
                 uint32_t upstream_region)
{
  uint32_t self_score = rendezvous_score (self, upstream_hash);
  bool self_in_region = self->region == upstream_region;
  uint32_t preceding = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      bool other_in_region = others[i].region == upstream_region;
      if (other_in_region && !self_in_region)
        return false;
      if (other_in_region == self_in_region
          && rendezvous_score (&others[i], upstream_hash) > self_score)
        preceding++;
    }
  return preceding < UPS_COLD_NODES;
}
