/* Client accounts in force on a node: authentication of callers' requests by API key, the accounts'
 * regions and quotas, and rejection of requests whose key has been removed. */
#include "aut.h"

#include <string.h>
#include <unistd.h>

#define STATUS_UNAUTHORIZED 401
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_SERVICE_UNAVAILABLE 503

#define UNAUTHORIZED "unauthorized"
#define CHALLENGE_HEADER "www-authenticate"
#define CHALLENGE "Bearer"
#define RETRY_HEADER "retry-after"
#define OVER_QUOTA "over_quota"

void
aut_init (Node *node)
{
  if (getentropy (node->account_secret.bytes, sizeof node->account_secret.bytes) != 0)
    g_error ("the system has no random numbers");
}

/* ---- Rejections ---- */

/* Returns the request's ID, which the response repeats, as a new string, or NULL. */
static char *
repeat_id (const Node *node, h2o_req_t *h2o)
{
  char *id = hsv_header (h2o, node->headers.request_id);

  if (id != NULL)
    hsv_add_header (h2o, node->headers.request_id, id);
  return id;
}

/* Callers without a key, or over their quota, must not use up the log's lines for other requests.
 */
static bool
may_log (Node *node)
{
  uint64_t second = clk_now_ms () / 1000;

  if (second != node->rejects_logged_at_s)
    node->rejects_logged = 0;
  node->rejects_logged_at_s = second;
  return node->rejects_logged++ < LOG_REJECTS_PER_S;
}

static void
count_unauthorized (Node *node, const char *id, const RteRoute *route, const char *reason)
{
  node->counters.unauthorized++;
  if (may_log (node))
    log_event (&node->request_log, LOG_INFO, "request_unauthorized",
               "id=%s route=%s reason=%s config=%llu config_age_ms=%llu", id != NULL ? id : "-",
               route->name, reason, (unsigned long long) node->table->version,
               (unsigned long long) (clk_now_ms () - node->configured_at_ms));
}

static void
reject_unauthorized (Node *node, h2o_req_t *h2o, const RteRoute *route, const char *reason)
{
  char *id = repeat_id (node, h2o);

  count_unauthorized (node, id, route, reason);
  g_free (id);
  hsv_add_header (h2o, CHALLENGE_HEADER, CHALLENGE);
  hsv_respond (h2o, STATUS_UNAUTHORIZED, "text/plain", UNAUTHORIZED);
}

static void
log_rejected (Node *node, const char *id, const RteRoute *route, const AccAccount *account,
              int status, const char *reason, uint32_t retry_after_ms)
{
  if (may_log (node))
    log_event (
        &node->request_log, LOG_INFO, "request_failed",
        "id=%s status=%d reason=%s route=%s account=%s sends=0 retry_after_ms=%u config=%llu",
        id != NULL ? id : "-", status, reason, route->name, account->name, retry_after_ms,
        (unsigned long long) node->table->version);
}

static void
format_seconds (uint32_t ms, char *text, size_t size)
{
  g_snprintf (text, size, "%u.%03u", ms / 1000, ms % 1000);
}

static void
reject (Node *node, h2o_req_t *h2o, const RteRoute *route, const AccAccount *account, int status,
        const char *reason, uint32_t retry_after_ms)
{
  char *id = repeat_id (node, h2o);
  char seconds[32];

  log_rejected (node, id, route, account, status, reason, retry_after_ms);
  g_free (id);
  format_seconds (retry_after_ms, seconds, sizeof seconds);
  hsv_add_header (h2o, RETRY_HEADER, seconds);
  hsv_respond (h2o, status, "text/plain", reason);
}

/* ---- Accounts of a new configuration ---- */

static bool
is_region (const Node *node, const char *name)
{
  for (guint i = 0; i < node->settings.regions->len; i++)
    if (strcmp (g_ptr_array_index (node->settings.regions, i), name) == 0)
      return true;
  return false;
}

static void
log_errors (const Node *node, const AccAccount *account)
{
  if (account->invalid_field != NULL)
    log_event (&node->log, LOG_WARN, "account_invalid", "account=%s field=%s config=%llu",
               account->name, account->invalid_field, (unsigned long long) node->table->version);
  for (char **region = account->regions; region != NULL && *region != NULL; region++)
    if (!is_region (node, *region))
      log_event (&node->log, LOG_WARN, "account_invalid",
                 "account=%s field=regions region=\"%s\" config=%llu", account->name, *region,
                 (unsigned long long) node->table->version);
}

static const AccTable *
previous_accounts (const Node *node)
{
  const RteTable *previous = node->account_change.previous;

  return previous != NULL ? previous->accounts : NULL;
}

static void
drop_quota_if_removed (Node *node, const AccAccount *account)
{
  const AccTable *accounts = node->table->accounts;

  if (accounts == NULL || acc_find_name (accounts, account->name) == NULL)
    quo_set_limit (node->quotas, account->hash, 0, 0);
}

static void
carry_over_counters (const Node *node, AccAccount *account)
{
  const AccTable *accounts = previous_accounts (node);
  const AccAccount *previous = accounts != NULL ? acc_find_name (accounts, account->name) : NULL;

  if (previous == NULL)
    return;
  account->requests += previous->requests;
  account->over_quota += previous->over_quota;
}

static void
apply_account (Node *node, AccAccount *account)
{
  if (!account->is_applied)
    {
      account->is_applied = true;
      carry_over_counters (node, account);
      log_errors (node, account);
    }
  quo_set_limit (node->quotas, account->hash, account->rate_mps, account->burst);
}

/* ---- Arrival of a request ---- */

static AccAccount *
find_account (Node *node, const char *value, AccDigest *digest, const char **reason)
{
  size_t key_bytes = 0;
  const char *key = value != NULL ? acc_parse_bearer (value, &key_bytes) : NULL;
  AccAccount *account = NULL;

  *reason = value == NULL ? "no_key" : "malformed_key";
  if (key != NULL)
    {
      *reason = "unknown_key";
      *digest = acc_digest (&node->account_secret, key, key_bytes);
      account = acc_find (node->table->accounts, digest);
      if (account != NULL && !account->is_applied)
        apply_account (node, account);
    }
  return account;
}

bool
aut_identify (Node *node, h2o_req_t *h2o, const RteRoute *route, AutIdentity *identity)
{
  const char *reason;

  *identity = (AutIdentity){ 0 };
  if (node->table->accounts == NULL)
    return true;
  char *value = hsv_header (h2o, AUT_HEADER);
  identity->account = find_account (node, value, &identity->digest, &reason);
  g_free (value);
  if (identity->account != NULL)
    identity->account->requests++;
  if (identity->account != NULL || route->is_public)
    return true;
  reject_unauthorized (node, h2o, route, reason);
  return false;
}

static bool
has_common_region (const Node *node, const RteRoute *route, const AccAccount *account)
{
  if (!acc_limits_regions (account))
    return true;
  for (guint i = 0; i < node->settings.regions->len; i++)
    {
      const char *region = g_ptr_array_index (node->settings.regions, i);
      if (rte_allows_region (route, region) && acc_allows_region (account, region))
        return true;
    }
  return false;
}

static void
count_over_quota (Node *node, AccAccount *account)
{
  node->counters.over_quota++;
  account->over_quota++;
}

bool
aut_admit (Node *node, h2o_req_t *h2o, const RteRoute *route, AccAccount *account,
           uint32_t limit_ms)
{
  AdmRequest admission = { .remaining_ms = limit_ms };
  uint32_t retry_after_max_ms = adm_max_retry_after_ms (&admission);
  uint32_t retry_after_ms = 0;

  if (account == NULL)
    return true;
  if (!has_common_region (node, route, account))
    {
      node->counters.refused++;
      reject (node, h2o, route, account, STATUS_SERVICE_UNAVAILABLE, "no_region",
              MIN (retry_after_max_ms, ADM_RETRY_AFTER_MAX_MS));
      return false;
    }
  if (account->rate_mps == 0
      || quo_admit (node->quotas, account->hash, clk_now_ms (), &retry_after_ms))
    return true;
  count_over_quota (node, account);
  reject (node, h2o, route, account, STATUS_TOO_MANY_REQUESTS, OVER_QUOTA,
          MIN (retry_after_ms, retry_after_max_ms));
  return false;
}

/* ---- Rejections before the body ---- */

static bool
reject_head_unauthorized (Node *node, const char *id, const RteRoute *route, const char *reason,
                          HsvReply *reply)
{
  if (route->is_public)
    return false;
  count_unauthorized (node, id, route, reason);
  reply->status = STATUS_UNAUTHORIZED;
  reply->body = UNAUTHORIZED;
  hsv_add_reply_header (reply, CHALLENGE_HEADER, CHALLENGE);
  return true;
}

static bool
reject_head_over_quota (Node *node, const char *id, const RteRoute *route, AccAccount *account,
                        uint32_t limit_ms, HsvReply *reply)
{
  AdmRequest admission = { .remaining_ms = limit_ms };
  uint32_t retry_after_ms;
  char seconds[32];

  if (account->rate_mps == 0 || !has_common_region (node, route, account)
      || quo_would_admit (node->quotas, account->hash, clk_now_ms (), &retry_after_ms))
    return false;
  retry_after_ms = MIN (retry_after_ms, adm_max_retry_after_ms (&admission));
  account->requests++;
  count_over_quota (node, account);
  log_rejected (node, id, route, account, STATUS_TOO_MANY_REQUESTS, OVER_QUOTA, retry_after_ms);
  format_seconds (retry_after_ms, seconds, sizeof seconds);
  reply->status = STATUS_TOO_MANY_REQUESTS;
  reply->body = OVER_QUOTA;
  hsv_add_reply_header (reply, RETRY_HEADER, seconds);
  return true;
}

bool
aut_reject_head (Node *node, const Hed *head, const RteRoute *route, uint32_t limit_ms,
                 HsvReply *reply)
{
  char *id = hed_header (head, node->headers.request_id);
  char *value = hed_header (head, AUT_HEADER);
  const char *reason;
  AccDigest digest;
  AccAccount *account = find_account (node, value, &digest, &reason);
  bool is_rejected = account != NULL
                         ? reject_head_over_quota (node, id, route, account, limit_ms, reply)
                         : reject_head_unauthorized (node, id, route, reason, reply);

  if (is_rejected && id != NULL)
    hsv_add_reply_header (reply, node->headers.request_id, id);
  g_free (value);
  g_free (id);
  return is_rejected;
}

void
aut_set_sender (Frq *frq, const AutIdentity *identity)
{
  frq->priority = frq->route->priority;
  if (identity->account == NULL)
    return;
  frq->account = identity->account;
  frq->key_digest = identity->digest;
  frq->has_quota_token = identity->account->rate_mps > 0;
  if (identity->account->has_priority)
    frq->priority = identity->account->priority;
}

/* ---- New configurations ---- */

static bool
holds_key (const AccTable *accounts, const Frq *frq)
{
  const AccAccount *holder = accounts != NULL ? acc_find (accounts, &frq->key_digest) : NULL;

  return holder != NULL && strcmp (holder->name, frq->account->name) == 0;
}

static void
mark_revoked (Node *node, const AccTable *accounts)
{
  for (GList *item = node->requests.head; item != NULL; item = item->next)
    {
      Frq *frq = item->data;
      if (frq->account == NULL || frq->is_revoked || holds_key (accounts, frq))
        continue;
      frq->is_revoked = true;
      node->revocations_pending = true;
    }
}

/* Requests that arrived before the configuration had accounts hold the headers that only then are
 * left out. */
static void
remove_headers (Node *node)
{
  for (GList *item = node->requests.head; item != NULL; item = item->next)
    {
      Frq *frq = item->data;
      msg_remove_header (&frq->message, AUT_HEADER);
      msg_remove_header (&frq->message, node->headers.account);
    }
}

static void
end_change (Node *node)
{
  node->account_change.pending = false;
  g_clear_pointer (&node->account_change.previous, rte_unref);
}

/* Applies up to @count accounts. Quotas of removed accounts are dropped first, as another account
 * may have the same hash; for the same reason, accounts already applied on their first request are
 * applied again. */
static void
apply_accounts (Node *node, guint count)
{
  NodAccountChange *change = &node->account_change;
  const AccTable *previous = previous_accounts (node);
  const AccTable *accounts = node->table->accounts;

  for (; previous != NULL && change->dropped < previous->accounts->len && count > 0; count--)
    drop_quota_if_removed (node, g_ptr_array_index (previous->accounts, change->dropped++));
  for (; accounts != NULL && change->applied < accounts->accounts->len && count > 0; count--)
    apply_account (node, g_ptr_array_index (accounts->accounts, change->applied++));
  if (count > 0)
    end_change (node);
}

void
aut_apply_step (Node *node)
{
  if (node->account_change.pending)
    apply_accounts (node, APPLY_STEP_ACCOUNTS);
}

bool
aut_is_applying (const Node *node)
{
  return node->account_change.pending;
}

void
aut_apply_configuration (Node *node, RteTable *previous)
{
  AccTable *accounts = node->table->accounts;

  node->configured_at_ms = clk_now_ms ();
  node->account_change
      = (NodAccountChange){ .pending = true,
                            .previous = previous != NULL ? rte_ref (previous) : NULL };
  if (previous_accounts (node) != NULL)
    mark_revoked (node, accounts);
  else if (accounts != NULL)
    remove_headers (node);
  apply_accounts (node, APPLY_STEP_ACCOUNTS);
}

void
aut_reject_revoked (Node *node)
{
  if (!node->revocations_pending)
    return;
  node->revocations_pending = false;
  GList *item = node->requests.head;
  while (item != NULL)
    {
      Frq *frq = item->data;
      item = item->next;
      if (frq->is_revoked && (frq->call == NULL || !ucn_was_sent (frq->call)))
        frq_fail (frq, FRQ_KEY_REMOVED);
    }
}
