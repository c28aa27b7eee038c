/* Accounts on nodes: asks nodes for their state dumps, and prints quotas and use of accounts. */
#pragma once

#include "hcl.h"

/** Environment variable with the nodes' addresses, separated by blanks, used when none is given. */
#define CAC_NODES_VARIABLE "CARDAMOM_NODES"

/** struct CacQuery - what is asked; @account: NULL for the accounts with the most requests of each
 * node */
typedef struct
{
  char **addresses;
  int count;
  const char *account;
  bool json;
} CacQuery;

/**
 * cac_run() - asks each address, one after the other, and prints a line for each account and node
 *
 * Return: 0; 1 if a node did not respond; 2 if there is no address or one is invalid.
 */
int cac_run (HclCtx *http, const CacQuery *query);
