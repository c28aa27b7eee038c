/* Client accounts in force on a node: authentication of callers' requests by API key, the accounts'
 * regions and quotas, and rejection of requests whose key has been removed. */
#pragma once

#include "frq.h"

/** Header that carries a caller's API key. */
#define AUT_HEADER "authorization"

/**
 * struct AutIdentity - the sender of a request
 * @account: the client account whose key the request carries, or NULL
 * @digest: digest of that key
 */
typedef struct
{
  AccAccount *account;
  AccDigest digest;
} AutIdentity;

/** aut_init() - creates the random key with which the process hashes API keys. */
void aut_init (Node *node);

/**
 * aut_identify() - finds the sender of a request
 * @identity: set; without an account when the configuration has none, or on a public route
 *
 * Return: false when the route requires a key and the request has none that is known; it has been
 * answered with 401 then.
 */
bool aut_identify (Node *node, h2o_req_t *h2o, const RteRoute *route, AutIdentity *identity);

/**
 * aut_admit() - checks the account's regions, and takes a token of its quota
 * @account: NULL: the request is admitted
 * @limit_ms: longest time until its response
 *
 * Return: false when the request has been answered: with 503 when no region may serve both the
 * account and the route, with 429 over the quota.
 */
bool aut_admit (Node *node, h2o_req_t *h2o, const RteRoute *route, AccAccount *account,
                uint32_t limit_ms);

/**
 * aut_reject_head() - whether a request is rejected before its body is received
 * @limit_ms: longest time until its response
 * @reply: set when it is: 401 as aut_identify(), 429 as aut_admit()
 *
 * Takes no token: a request that is received is checked again.
 */
bool aut_reject_head (Node *node, const Hed *head, const RteRoute *route, uint32_t limit_ms,
                      HsvReply *reply);

/** aut_set_sender() - records in a new request who sent it, and its priority. */
void aut_set_sender (Frq *frq, const AutIdentity *identity);

/**
 * aut_apply_configuration() - applies the accounts of the node's table, which has just changed
 * @previous: the table before, or NULL
 *
 * Marks open requests whose key their account no longer holds. It may be called while such a
 * request is being handled, so aut_reject_revoked() rejects them later. Sets the quotas and logs
 * errors in accounts, of APPLY_STEP_ACCOUNTS accounts now and of the others in aut_apply_step(), or
 * before the first request of an account.
 */
void aut_apply_configuration (Node *node, RteTable *previous);

/** aut_apply_step() - applies the next APPLY_STEP_ACCOUNTS accounts; to be called regularly. */
void aut_apply_step (Node *node);

/** aut_is_applying() - whether accounts are left to apply; the next configuration has to wait, or
 * they are applied at once. */
bool aut_is_applying (const Node *node);

/** aut_reject_revoked() - rejects the marked requests that have not been sent; to be called
 * regularly, outside the handling of a request. */
void aut_reject_revoked (Node *node);
