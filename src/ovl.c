/* Overlay of the nodes: the order of a cell's nodes, and who passes news on to whom. Pure. */
#include "ovl.h"

int
ovl_compare (const OvlNode *a, const OvlNode *b)
{
  if (a->serving != b->serving)
    return a->serving ? -1 : 1;
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity ? -1 : 1;
  if (a->hash != b->hash)
    return a->hash > b->hash ? -1 : 1;
  return 0;
}

bool
ovl_is_better (const OvlNode *a, const OvlNode *b)
{
  return ovl_compare (a, b) < 0;
}

uint32_t
ovl_children (uint32_t rank, uint32_t count, uint32_t *out)
{
  uint32_t found = 0;

  for (uint32_t i = 1; i <= OVL_FANOUT; i++)
    {
      uint32_t child = rank * OVL_FANOUT + i;
      if (child < count)
        out[found++] = child;
    }
  return found;
}

uint32_t
ovl_relay (uint32_t hash, uint32_t number, uint32_t count)
{
  return count > 0 ? (hash + number) % count : 0;
}
