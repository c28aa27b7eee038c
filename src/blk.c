/* Longest prefix match of client addresses: maps CIDR blocks to client groups. */
#include "blk.h"

#include "net.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define INDEX_BITS 16
#define INDEX_SIZE (1u << INDEX_BITS)
/* Prefix lengths 0 to 32, so at most 33 blocks contain one address. */
#define NESTED_BLOCKS_MAX 33

/*
 * Range i covers the addresses from starts[i] to below starts[i + 1]. index[] gives the range that
 * contains the first address of each /16, so a lookup searches only the ranges of one /16.
 */
struct _BlkTable
{
  uint32_t ref_count;
  uint32_t *starts;
  uint16_t *groups;
  size_t count;
  size_t capacity;
  uint32_t *index;
};

/* Block whose addresses continue at the current position of blk_build(). */
typedef struct
{
  uint64_t end;
  uint16_t group;
} OpenBlock;

static int
compare_blocks (const void *a, const void *b)
{
  const BlkBlock *x = a;
  const BlkBlock *y = b;

  if (x->ip != y->ip)
    return x->ip < y->ip ? -1 : 1;
  return (int) x->length - (int) y->length;
}

static void
add_range (BlkTable *table, uint64_t start, uint16_t group)
{
  if (start > UINT32_MAX)
    return;
  if (table->count > 0 && table->starts[table->count - 1] == start)
    table->count--;
  if (table->count > 0 && table->groups[table->count - 1] == group)
    return;
  if (table->count == table->capacity)
    {
      table->capacity = table->capacity * 2 + 16;
      table->starts = g_renew (uint32_t, table->starts, table->capacity);
      table->groups = g_renew (uint16_t, table->groups, table->capacity);
    }
  table->starts[table->count] = (uint32_t) start;
  table->groups[table->count] = group;
  table->count++;
}

static void
build_index (BlkTable *table)
{
  size_t range = 0;

  table->index = g_new (uint32_t, INDEX_SIZE + 1);
  for (uint32_t i = 0; i < INDEX_SIZE; i++)
    {
      while (range + 1 < table->count && table->starts[range + 1] <= i << (32 - INDEX_BITS))
        range++;
      table->index[i] = (uint32_t) range;
    }
  table->index[INDEX_SIZE] = (uint32_t) table->count - 1;
}

BlkTable *
blk_build (BlkBlock *blocks, size_t count)
{
  BlkTable *table = g_new0 (BlkTable, 1);
  OpenBlock open[NESTED_BLOCKS_MAX] = { { 0 } };
  uint32_t depth = 0;

  if (count > 0)
    qsort (blocks, count, sizeof *blocks, compare_blocks);
  add_range (table, 0, BLK_NONE);
  for (size_t i = 0; i <= count; i++)
    {
      uint64_t start = i < count ? blocks[i].ip : (uint64_t) UINT32_MAX + 1;
      while (depth > 0 && open[depth - 1].end <= start)
        {
          depth--;
          add_range (table, open[depth].end, depth > 0 ? open[depth - 1].group : BLK_NONE);
        }
      if (i == count)
        break;
      uint64_t end = start + (1ull << (32 - blocks[i].length));
      if (depth > 0 && open[depth - 1].end == end && i > 0 && blocks[i - 1].ip == blocks[i].ip
          && blocks[i - 1].length == blocks[i].length)
        depth--;
      open[depth++] = (OpenBlock){ .end = end, .group = blocks[i].group };
      add_range (table, start, blocks[i].group);
    }
  table->starts = g_renew (uint32_t, table->starts, table->count);
  table->groups = g_renew (uint16_t, table->groups, table->count);
  build_index (table);
  table->ref_count = 1;
  return table;
}

BlkTable *
blk_ref (BlkTable *table)
{
  table->ref_count++;
  return table;
}

void
blk_unref (BlkTable *table)
{
  if (table == NULL || --table->ref_count > 0)
    return;
  g_free (table->starts);
  g_free (table->groups);
  g_free (table->index);
  g_free (table);
}

static uint16_t
find_group (const BlkTable *table, size_t low, size_t high, uint32_t ip)
{
  while (low < high)
    {
      size_t middle = (low + high + 1) / 2;
      if (table->starts[middle] <= ip)
        low = middle;
      else
        high = middle - 1;
    }
  return table->groups[low];
}

uint16_t
blk_lookup (const BlkTable *table, uint32_t ip)
{
  uint32_t slot = ip >> (32 - INDEX_BITS);

  return find_group (table, table->index[slot], table->index[slot + 1], ip);
}

uint16_t
blk_lookup_unindexed (const BlkTable *table, uint32_t ip)
{
  return find_group (table, 0, table->count - 1, ip);
}

size_t
blk_bytes (const BlkTable *table)
{
  return table->count * (sizeof (uint32_t) + sizeof (uint16_t))
         + (INDEX_SIZE + 1) * sizeof (uint32_t);
}

int
blk_block_parse (const char *text, BlkBlock *block)
{
  char host[32];
  char *end;
  const char *slash = strchr (text, '/');

  if (slash == NULL || (size_t) (slash - text) >= sizeof host || !g_ascii_isdigit (slash[1]))
    return 0;
  g_strlcpy (host, text, (size_t) (slash - text) + 1);
  unsigned long length = strtoul (slash + 1, &end, 10);
  if (*end != '\0' || length > 32 || !net_ip_parse (host, &block->ip))
    return 0;
  block->length = (uint8_t) length;
  return length == 0 ? block->ip == 0 : (block->ip & (uint32_t) ((1ull << (32 - length)) - 1)) == 0;
}
