/* Overlay of the nodes: the order of a cell's nodes, and who passes news on to whom. Pure. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct OvlNode - what the order depends on
 * @hash: hash of the node's name
 * @capacity: its processors in thousandths of a core
 * @serving: it has all that it needs to serve
 */
typedef struct
{
  uint32_t hash;
  uint32_t capacity;
  bool serving;
} OvlNode;

/** ovl_is_better() - @a comes before @b: serving nodes first, then by capacity, then by hash. */
bool ovl_is_better (const OvlNode *a, const OvlNode *b);

/** ovl_compare() - order for qsort(), best first. */
int ovl_compare (const OvlNode *a, const OvlNode *b);

/**
 * ovl_children() - whom the node at position @rank of a cell of @count nodes passes news on to
 *
 * The nodes of a cell form a tree in their order, whose root is the best. Return: how many
 * positions were written to @out, OVL_FANOUT at most.
 */
uint32_t ovl_children (uint32_t rank, uint32_t count, uint32_t *out);

/** ovl_relay() - which of a cell's @count nodes relays the message @number from the node @hash. */
uint32_t ovl_relay (uint32_t hash, uint32_t number, uint32_t count);
