/* Which nodes use a cold upstream: a few, the same ones from every node's view. Pure. */
#include "cld.h"

static uint32_t
score_of (const CldNode *node, uint32_t upstream)
{
  return (node->hash ^ upstream) * 0x9e3779b1u;
}

bool
cld_shares (const CldNode *self, const CldNode *others, uint32_t count, uint32_t upstream,
            uint32_t region)
{
  uint32_t own = score_of (self, upstream);
  bool is_near = self->region == region;
  uint32_t better = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      bool other_is_near = others[i].region == region;
      if (other_is_near && !is_near)
        return false;
      if (other_is_near == is_near && score_of (&others[i], upstream) > own)
        better++;
    }
  return better < UPS_COLD_SHARERS;
}
