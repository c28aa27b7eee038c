/* Membership of entry VMs: what is said of each carries its incarnation. Pure. */
#pragma once

#include "cfg.h"
#include "wire.h"

typedef enum
{
  MEM_ALIVE,
  MEM_LEAVING,
  MEM_SUSPECT,
  MEM_DEAD,
} MemState;

/**
 * struct MemMember - one VM as last heard of
 * @refutation: raised by the member itself when it contradicts what is said of it
 * @entry_ended: last incarnation of its entry that is known to have ended
 * @heard_at_ms: last direct answer, 0 for none
 * @sends_left: how often the news about it is still passed on
 * @version: the table's version at its last change
 */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  char region[NAME_MAX_BYTES];
  char zone[NAME_MAX_BYTES];
  NetAddr steer;
  NetAddr entry_http;
  NetAddr entry_rpc;
  uint64_t incarnation;
  uint64_t refutation;
  uint64_t entry_incarnation;
  uint64_t entry_ended;
  int32_t state;
  uint64_t state_at_ms;
  uint64_t heard_at_ms;
  uint32_t sends_left;
  uint64_t version;
} MemMember;

/** struct MemTable - all members, sorted by VM name; the first call names the own one */
typedef struct
{
  char self[NAME_MAX_BYTES];
  GPtrArray *members;
  uint64_t version;
} MemTable;

void mem_init (MemTable *table, const MemMember *self);
MemMember *mem_get (const MemTable *table, const char *vm);
MemMember *mem_self (const MemTable *table);

/** mem_set_self() - states the state and entry process of the own VM; true when either is new. */
bool mem_set_self (MemTable *table, int32_t state, uint64_t entry_incarnation);

/** mem_set_entry_ended() - the own VM's entry process is known to have ended. */
void mem_set_entry_ended (MemTable *table, uint64_t incarnation);

/** mem_entry_has_ended() - a VM's entry process with that incarnation runs no more. */
bool mem_entry_has_ended (const MemTable *table, const char *vm, uint64_t incarnation);

/** mem_learn() - takes news; true when it was newer than what was known. */
bool mem_learn (MemTable *table, const wire_member *news, uint64_t now_ms);

/** mem_heard() - a direct answer from a member. */
void mem_heard (MemTable *table, const char *vm, uint64_t now_ms);

/** mem_suspect() - a member gave no answer. */
void mem_suspect (MemTable *table, const char *vm, uint64_t now_ms);

/** mem_tick() - suspects that stayed silent for MEMBER_DEAD_MS are dead. */
void mem_tick (MemTable *table, uint64_t now_ms);

/** mem_remove_absent() - forgets members that the platform no longer lists; frees their budget. */
void mem_remove_absent (MemTable *table, const Cfg *cfg);

/** mem_is_usable() - alive or suspect, so it may be sent messages and counted. */
bool mem_is_usable (const MemMember *member);

void mem_to_wire (const MemMember *member, wire_member *out);
void mem_wire_free (wire_member *wire);

/** mem_rank() - position of @vm among the usable members of its region ordered by a hash of
 * @salt, so that all processes choose the same ones; UINT32_MAX when absent. */
uint32_t mem_rank (const MemTable *table, const char *vm, const char *salt);
const char *mem_state_name (int32_t state);
