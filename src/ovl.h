/* Overlay network of the nodes: the rank of a cell's nodes, and which nodes forward updates to
 * which. Pure: no I/O, no clock.
 *
 * A cell is a region, or a zone when there are more than OVL_FLAT_MAX nodes. The first OVL_HEADS
 * nodes of a cell are its heads, which get the updates that a node has read from the store. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct OvlNode - what the rank of a node depends on
 * @hash: hash of the node's name
 * @capacity: its share of processors in thousandths of a core
 * @serving: it is ready to serve requests
 */
typedef struct
{
  uint32_t hash;
  uint32_t capacity;
  bool serving;
} OvlNode;

/** ovl_precedes() - true when @a ranks before @b: serving nodes first, then larger capacity, then
 * larger hash. */
bool ovl_precedes (const OvlNode *a, const OvlNode *b);

/** ovl_compare() - comparison for qsort(), first rank first. */
int ovl_compare (const OvlNode *a, const OvlNode *b);

/**
 * ovl_children() - nodes to which the node of rank @rank in a cell of @count nodes forwards updates
 * @children: output, ranks of the nodes, OVL_FANOUT at most
 *
 * The nodes of a cell form a tree in the order of their ranks, with rank 0 as root. Return: number
 * of entries written.
 */
uint32_t ovl_children (uint32_t rank, uint32_t count, uint32_t *children);

/** ovl_relay() - index of the node that relays message @sequence to the other nodes of a cell of
 * @count nodes: round robin, starting at @offset. */
uint32_t ovl_relay (uint32_t offset, uint32_t sequence, uint32_t count);
