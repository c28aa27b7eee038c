/* Table of client blocks: longest prefix to group, as disjoint address ranges. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#define BLK_NONE UINT16_MAX

typedef struct _BlkTable BlkTable;

/** struct BlkBlock - one block of clients; @length is the prefix length in bits */
typedef struct
{
  uint32_t ip;
  uint8_t length;
  uint16_t group;
} BlkBlock;

/** blk_build() - builds a table; @blocks is sorted in place. */
BlkTable *blk_build (BlkBlock *blocks, size_t count);

/** blk_ref() - another holder of the table; each calls blk_free() once. */
BlkTable *blk_ref (BlkTable *table);
void blk_free (BlkTable *table);

/** blk_lookup() - group of the longest block that holds @ip, or BLK_NONE. */
uint16_t blk_lookup (const BlkTable *table, uint32_t ip);

/** blk_lookup_plain() - the same by binary search over all ranges, without the index. */
uint16_t blk_lookup_plain (const BlkTable *table, uint32_t ip);

/** blk_bytes() - memory held by the table. */
size_t blk_bytes (const BlkTable *table);

/** blk_block_parse() - reads "a.b.c.d/len"; false when host bits are set or it cannot be read. */
int blk_block_parse (const char *text, BlkBlock *block);
