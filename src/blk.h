/* Longest prefix match of client addresses: maps CIDR blocks to client groups. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/** BLK_NONE - group of an address that no block contains */
#define BLK_NONE UINT16_MAX

typedef struct _BlkTable BlkTable;

/**
 * struct BlkBlock - a CIDR block of client addresses
 * @ip: first address, in host byte order
 * @length: prefix length in bits
 * @group: client group of the block's addresses
 */
typedef struct
{
  uint32_t ip;
  uint8_t length;
  uint16_t group;
} BlkBlock;

/** blk_build() - builds a table with one reference; sorts @blocks in place. */
BlkTable *blk_build (BlkBlock *blocks, size_t count);

/** blk_ref() - adds a reference, which ends with blk_unref(); not thread-safe. */
BlkTable *blk_ref (BlkTable *table);

/** blk_unref() - drops a reference and frees the table with the last one; accepts NULL. */
void blk_unref (BlkTable *table);

/** blk_lookup() - group of the longest block that contains @ip, or BLK_NONE. */
uint16_t blk_lookup (const BlkTable *table, uint32_t ip);

/** blk_lookup_unindexed() - as blk_lookup(), by binary search over all ranges without the index. */
uint16_t blk_lookup_unindexed (const BlkTable *table, uint32_t ip);

/** blk_bytes() - memory of the table's ranges and index, in bytes. */
size_t blk_bytes (const BlkTable *table);

/** blk_block_parse() - parses "a.b.c.d/length"; 0 when @text is malformed or host bits are set. */
int blk_block_parse (const char *text, BlkBlock *block);
