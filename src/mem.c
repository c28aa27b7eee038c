/* Membership of entry VMs (SWIM-like): state of each member, ordered by incarnation. */
#include "mem.h"

#include <string.h>

#define SENDS_PER_CHANGE 8

static int
compare_members (const void *a, const void *b)
{
  return strcmp ((*(MemMember *const *) a)->vm, (*(MemMember *const *) b)->vm);
}

/* Queues the change for the gossip to other steers and for the entries. */
static void
mark_changed (MemTable *table, MemMember *member)
{
  member->sends_left = SENDS_PER_CHANGE;
  member->version = ++table->version;
}

static MemMember *
add_member (MemTable *table, const MemMember *member)
{
  MemMember *added = g_memdup2 (member, sizeof *member);

  g_ptr_array_add (table->members, added);
  qsort (table->members->pdata, table->members->len, sizeof (gpointer), compare_members);
  return added;
}

void
mem_init (MemTable *table, const MemMember *self)
{
  table->members = g_ptr_array_new_with_free_func (g_free);
  g_strlcpy (table->self, self->vm, sizeof table->self);
  table->version = 0;
  mark_changed (table, add_member (table, self));
}

MemMember *
mem_get (const MemTable *table, const char *vm)
{
  for (uint32_t i = 0; i < table->members->len; i++)
    if (strcmp (((MemMember *) table->members->pdata[i])->vm, vm) == 0)
      return table->members->pdata[i];
  return NULL;
}

MemMember *
mem_self (const MemTable *table)
{
  return mem_get (table, table->self);
}

bool
mem_set_self (MemTable *table, int32_t state, uint64_t entry_incarnation)
{
  MemMember *self = mem_self (table);

  if (self->state == state && self->entry_incarnation == entry_incarnation)
    return false;
  self->state = state;
  self->entry_incarnation = entry_incarnation;
  self->refutation++;
  mark_changed (table, self);
  return true;
}

void
mem_set_entry_ended (MemTable *table, uint64_t incarnation)
{
  MemMember *self = mem_self (table);

  if (self->entry_ended >= incarnation)
    return;
  self->entry_ended = incarnation;
  self->refutation++;
  mark_changed (table, self);
}

/* A newer process of the VM listens on the same port, so the older one must have ended. */
bool
mem_entry_has_ended (const MemTable *table, const char *vm, uint64_t incarnation)
{
  const MemMember *member = mem_get (table, vm);

  return member == NULL || member->entry_ended >= incarnation
         || member->entry_incarnation > incarnation;
}

static bool
is_newer (const wire_member *update, const MemMember *known)
{
  if (update->incarnation != known->incarnation)
    return update->incarnation > known->incarnation;
  if (update->refutation != known->refutation)
    return update->refutation > known->refutation;
  return update->state > known->state;
}

static void
apply_update (MemTable *table, MemMember *member, const wire_member *update, uint64_t now_ms)
{
  g_strlcpy (member->vm, update->vm, sizeof member->vm);
  g_strlcpy (member->region, update->region, sizeof member->region);
  g_strlcpy (member->zone, update->zone, sizeof member->zone);
  net_addr_parse (update->steer_addr, &member->steer);
  net_addr_parse (update->entry_http, &member->entry_http);
  net_addr_parse (update->entry_rpc, &member->entry_rpc);
  member->incarnation = update->incarnation;
  member->refutation = update->refutation;
  member->entry_incarnation = update->entry_incarnation;
  member->entry_ended = MAX (member->entry_ended, update->entry_ended);
  member->state = update->state;
  member->state_at_ms = now_ms;
  mark_changed (table, member);
}

static bool
refute (MemTable *table, MemMember *self, const wire_member *update)
{
  if (update->incarnation != self->incarnation || update->refutation < self->refutation
      || (update->state == self->state && update->refutation == self->refutation))
    return false;
  self->refutation = update->refutation + 1;
  mark_changed (table, self);
  return true;
}

bool
mem_apply (MemTable *table, const wire_member *update, uint64_t now_ms)
{
  MemMember *known = mem_get (table, update->vm);
  MemMember new_member = { 0 };

  if (update->state < MEM_ALIVE || update->state > MEM_DEAD)
    return false;
  if (strcmp (update->vm, table->self) == 0)
    return refute (table, known, update);
  if (known != NULL && !is_newer (update, known))
    return false;
  if (known == NULL)
    {
      g_strlcpy (new_member.vm, update->vm, sizeof new_member.vm);
      known = add_member (table, &new_member);
    }
  apply_update (table, known, update, now_ms);
  return true;
}

void
mem_record_reply (MemTable *table, const char *vm, uint64_t now_ms)
{
  MemMember *member = mem_get (table, vm);

  if (member != NULL)
    member->last_reply_ms = now_ms;
}

void
mem_suspect (MemTable *table, const char *vm, uint64_t now_ms)
{
  MemMember *member = mem_get (table, vm);

  if (member == NULL || member->state >= MEM_SUSPECT
      || now_ms - member->last_reply_ms < MEMBER_SUSPECT_MS)
    return;
  member->state = MEM_SUSPECT;
  member->state_at_ms = now_ms;
  mark_changed (table, member);
}

void
mem_tick (MemTable *table, uint64_t now_ms)
{
  for (uint32_t i = 0; i < table->members->len; i++)
    {
      MemMember *member = table->members->pdata[i];
      if (member->state == MEM_SUSPECT && now_ms - member->state_at_ms >= MEMBER_DEAD_MS)
        {
          member->state = MEM_DEAD;
          member->state_at_ms = now_ms;
          mark_changed (table, member);
        }
    }
}

void
mem_remove_absent (MemTable *table, const Cfg *cfg)
{
  for (uint32_t i = table->members->len; i > 0; i--)
    {
      MemMember *member = table->members->pdata[i - 1];
      if (member->state == MEM_DEAD && cfg_vm (cfg, member->vm) == NULL
          && strcmp (member->vm, table->self) != 0)
        g_ptr_array_remove_index (table->members, i - 1);
    }
}

bool
mem_is_usable (const MemMember *member)
{
  return member->state != MEM_DEAD;
}

void
mem_to_wire (const MemMember *member, wire_member *out)
{
  char text[32];

  *out = (wire_member){ .vm = g_strdup (member->vm),
                        .region = g_strdup (member->region),
                        .zone = g_strdup (member->zone),
                        .steer_addr = g_strdup (net_addr_text (member->steer, text)),
                        .incarnation = member->incarnation,
                        .refutation = member->refutation,
                        .entry_incarnation = member->entry_incarnation,
                        .entry_ended = member->entry_ended,
                        .state = member->state };
  out->entry_http = g_strdup (net_addr_text (member->entry_http, text));
  out->entry_rpc = g_strdup (net_addr_text (member->entry_rpc, text));
}

void
mem_wire_free (wire_member *wire)
{
  g_free (wire->vm);
  g_free (wire->region);
  g_free (wire->zone);
  g_free (wire->steer_addr);
  g_free (wire->entry_http);
  g_free (wire->entry_rpc);
}

static uint32_t
salted_hash (const char *salt, const char *vm)
{
  char *text = g_strconcat (salt, "/", vm, NULL);
  uint32_t hash = g_str_hash (text) * 2654435761u;

  g_free (text);
  return hash ^ (hash >> 15);
}

uint32_t
mem_rank (const MemTable *table, const char *vm, const char *salt)
{
  const MemMember *member = mem_get (table, vm);
  uint32_t rank = 0;

  if (member == NULL)
    return UINT32_MAX;
  uint32_t member_hash = salted_hash (salt, vm);
  for (uint32_t i = 0; i < table->members->len; i++)
    {
      const MemMember *other = table->members->pdata[i];
      if (other == member || !mem_is_usable (other) || other->state == MEM_SUSPECT
          || strcmp (other->region, member->region) != 0)
        continue;
      uint32_t hash = salted_hash (salt, other->vm);
      if (hash < member_hash || (hash == member_hash && strcmp (other->vm, vm) < 0))
        rank++;
    }
  return rank;
}

const char *
mem_state_name (int32_t state)
{
  static const char *const names[] = { "alive", "leaving", "suspect", "dead" };

  return names[state];
}
