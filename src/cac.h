/* Accounts on nodes: reads the nodes' state dumps, and prints quotas and use of accounts. */
#pragma once

#include "hcl.h"

/** Environment variable with the addresses of the nodes' metrics, separated by white space or
 * commas; used when none is given. */
#define CAC_NODES_VARIABLE "CARDAMOM_NODES"

/**
 * struct CacQuery - options of the command
 * @addresses: of the nodes' metrics
 * @account: name of one account; NULL for those with the most requests on each node
 * @json: prints each line as a JSON object
 */
typedef struct
{
  char **addresses;
  int count;
  const char *account;
  bool json;
} CacQuery;

/**
 * cac_run() - queries each address, one after the other, and prints a line for each account and
 * node
 *
 * Return: 0; 1 if a node did not respond; 2 if there is no address or one is invalid.
 */
int cac_run (HclCtx *http, const CacQuery *query);
