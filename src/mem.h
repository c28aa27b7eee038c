/* Membership of entry VMs (SWIM-like): state of each member, ordered by incarnation. Pure. */
#pragma once

#include "cfg.h"
#include "wire.h"

/** enum MemState - of updates with the same incarnation and refutation the later state wins */
typedef enum
{
  MEM_ALIVE,
  MEM_LEAVING,
  MEM_SUSPECT,
  MEM_DEAD,
} MemState;

/**
 * struct MemMember - last known state of one VM
 * @incarnation: of its steer process; updates of an older one are ignored
 * @refutation: incremented by the member itself to override reports of others; orders the updates
 *              of one incarnation
 * @entry_ended: newest incarnation of its entry process that is known to have ended
 * @last_reply_ms: time of its last direct reply, 0 for none
 * @sends_left: number of gossip messages that still carry its last change
 * @version: version of the table at its last change
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
  uint64_t last_reply_ms;
  uint32_t sends_left;
  uint64_t version;
} MemMember;

/**
 * struct MemTable - all members, sorted by VM name
 * @self: name of the own VM, set by mem_init()
 * @version: incremented at each change of a member
 */
typedef struct
{
  char self[NAME_MAX_BYTES];
  GPtrArray *members;
  uint64_t version;
} MemTable;

void mem_init (MemTable *table, const MemMember *self);
MemMember *mem_get (const MemTable *table, const char *vm);
MemMember *mem_self (const MemTable *table);

/** mem_set_self() - sets the state and entry process of the own VM; true when either changed. */
bool mem_set_self (MemTable *table, int32_t state, uint64_t entry_incarnation);

/** mem_set_entry_ended() - records that the own VM's entry process has ended. */
void mem_set_entry_ended (MemTable *table, uint64_t incarnation);

/** mem_entry_has_ended() - true when the entry process of @incarnation on @vm has ended, or @vm is
 * unknown. */
bool mem_entry_has_ended (const MemTable *table, const char *vm, uint64_t incarnation);

/** mem_apply() - applies an update; true when it was newer than the known state. An update that
 * contradicts the own state is refuted instead, with a higher refutation number. One with a state
 * other than those of MemState is ignored. */
bool mem_apply (MemTable *table, const wire_member *update, uint64_t now_ms);

/** mem_record_reply() - records a direct reply from a member. */
void mem_record_reply (MemTable *table, const char *vm, uint64_t now_ms);

/** mem_suspect() - records a failed call: a member without a reply for MEMBER_SUSPECT_MS becomes
 * suspect. */
void mem_suspect (MemTable *table, const char *vm, uint64_t now_ms);

/** mem_tick() - declares members dead that have been suspect for MEMBER_DEAD_MS. */
void mem_tick (MemTable *table, uint64_t now_ms);

/** mem_remove_absent() - removes dead members that the configuration no longer contains, which
 * frees their budget. */
void mem_remove_absent (MemTable *table, const Cfg *cfg);

/** mem_is_usable() - true unless dead: the member gets messages and is counted. */
bool mem_is_usable (const MemMember *member);

/** mem_to_wire() - @out is to be freed by mem_wire_free(). */
void mem_to_wire (const MemMember *member, wire_member *out);
void mem_wire_free (wire_member *wire);

/** mem_rank() - rank of @vm in the rendezvous hash order for @salt of the alive or leaving members
 * of its region, so that all processes select the same members; UINT32_MAX when @vm is unknown. */
uint32_t mem_rank (const MemTable *table, const char *vm, const char *salt);
const char *mem_state_name (int32_t state);
