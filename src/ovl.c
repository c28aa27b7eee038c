/* Overlay network of the nodes: the rank of a cell's nodes, and which nodes forward updates to
 * which. Pure: no I/O, no clock. */
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
ovl_precedes (const OvlNode *a, const OvlNode *b)
{
  return ovl_compare (a, b) < 0;
}

uint32_t
ovl_children (uint32_t rank, uint32_t count, uint32_t *children)
{
  uint32_t written = 0;

  for (uint32_t i = 1; i <= OVL_FANOUT; i++)
    {
      uint32_t child = rank * OVL_FANOUT + i;
      if (child < count)
        children[written++] = child;
    }
  return written;
}

uint32_t
ovl_relay (uint32_t offset, uint32_t sequence, uint32_t count)
{
  return count > 0 ? (offset + sequence) % count : 0;
}
